"""
Tests of protected listeners
============================

TLS towards callers, and CURVE between entries.
"""

from pathlib import Path

import gevent
from gevent import socket, ssl

from damasklead.demo.local import KEYS
from damasklead.util import split_address
from tests.processes import Deployment

FOLDER = Path(__file__).parent
CERTIFICATE = str(FOLDER / "tls-certificate.pem")
TLS = {"certificate": CERTIFICATE, "key": str(FOLDER / "tls-key.pem")}
PEER_KEYS = {
    "public_key": "3YX0K=<jQf9z+Yo8?aE]XO(wdKIn=dPLZe[^fX$x",
    "secret_key": "RS.r(}X$P28QNnn6UI2OUwEH[8t##5P[gtE)Zu5h",
}
OTHER_KEYS = {
    "public_key": "Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID",
    "secret_key": "D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs",
}


def read_models(connection: socket.socket) -> bytes:
    key = KEYS["skippers"]
    head = f"GET /v1/models HTTP/1.0\r\nAuthorization: Bearer {key}\r\n\r\n"
    connection.settimeout(10.0)
    connection.sendall(head.encode())
    received = b""
    while chunk := connection.recv(65536):
        received += chunk
    return received


def test_callers_speak_tls_with_the_certificate_of_the_settings() -> None:
    with Deployment(entries=1, engines=1, services=1, settings={"tls": TLS}) as running:
        address = split_address(running.callers["entry-0"])
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(CERTIFICATE)
        context.check_hostname = False
        plain = socket.create_connection(address)
        answer = read_models(context.wrap_socket(plain))
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"demo-7b" in answer
        try:
            without = read_models(socket.create_connection(address))
        except OSError:
            without = b""
        assert b"demo-7b" not in without


def test_entries_hear_only_peers_with_the_deployments_key() -> None:
    keys = {"peer_keys": PEER_KEYS}
    with Deployment(entries=2, engines=1, services=1, settings=keys) as running:
        coordinators = {
            pool["coordinator"]
            for name in running.operators
            for pool in running.status(name)["pools"]
        }
        assert coordinators == {"entry-0", "entry-1"}
        running.settings = {"peer_keys": OTHER_KEYS}
        running.start_entry("stranger")
        running.until(lambda: bool(running.status("stranger").get("ready")))
        gevent.sleep(3.0)
        for pool in running.status("stranger")["pools"]:
            assert pool["coordinator"] == "stranger" or not pool["granted"]
