"""Agreement checked exhaustively: the deciders of `control` under every order of events within bounds."""
