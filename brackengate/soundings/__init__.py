"""Agreement checked exhaustively: the deciders of `lighthouse` under every order of events within bounds."""
