"""A process in place of a router that sends datagrams on command and reports those it receives.

It reads a router's configuration. Commands come to the `operator` address: `NUMBER BODY` sends the body to
the router of that index, `all BODY` broadcasts it. Received datagrams are reported to the sender of the last
command, with the index of their sender in front.
"""

import json
import os
import select
import socket
from pathlib import Path


def bound(address: str) -> socket.socket:
    host, port = address.rsplit(":", 1)
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.bind((host, int(port)))
    return opened


def main() -> None:
    config = json.loads(Path(os.environ["NODE_CONFIG"]).read_text())
    told, peers = bound(config["operator"]), bound(config["peer_listen"])
    addresses = [
        (a.rsplit(":", 1)[0], int(a.rsplit(":", 1)[1])) for a in [*config["peers"], config["peers_all"]]
    ]
    teller = None
    while True:
        for ready in select.select([told, peers], [], [])[0]:
            data, address = ready.recvfrom(65536)
            if ready is peers:
                sender = addresses.index(address) if address in addresses else -1
                told.sendto(b"%d %s" % (sender, data), teller or addresses[0])
                continue
            teller = address
            to, _, body = data.partition(b" ")
            if to == b"hello":
                told.sendto(b"hello", address)
            else:
                peers.sendto(body, addresses[-1 if to == b"all" else int(to)])


if __name__ == "__main__":
    main()
