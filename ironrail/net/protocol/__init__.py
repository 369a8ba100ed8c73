"""The memcache meta protocol: parsing and writing of commands and replies, without I/O."""
