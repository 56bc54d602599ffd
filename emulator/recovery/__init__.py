"""How a small deployment bears overload, and how long it takes to recover from losses."""
