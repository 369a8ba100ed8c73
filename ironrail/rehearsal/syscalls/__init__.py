"""Makes system calls of a router process fail, through a library that is loaded into it."""
