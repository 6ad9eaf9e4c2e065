"""A soak of the mesh: real processes under drawn signals, restarts and orders, judged by what peers see."""
