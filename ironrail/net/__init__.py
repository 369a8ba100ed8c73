"""The daemon on real sockets: drivers of the pure packages."""
