"""
Tests of encrypted listeners
============================

TLS for callers, and CURVE between entries.
"""

from pathlib import Path

import gevent
from gevent import socket, ssl

from damasklead.demo.local import WORKSPACE_KEYS
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
    key = WORKSPACE_KEYS["skippers"]
    head = f"GET /v1/models HTTP/1.0\r\nAuthorization: Bearer {key}\r\n\r\n"
    connection.settimeout(10.0)
    connection.sendall(head.encode())
    received = b""
    while chunk := connection.recv(65536):
        received += chunk
    return received


def test_callers_are_served_over_tls_only() -> None:
    with Deployment(
        entries=1, engines=1, services=1, entry_settings={"tls": TLS}
    ) as deployment:
        address = split_address(deployment.caller_addresses["entry-0"])
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.load_verify_locations(CERTIFICATE)
        context.check_hostname = False
        connection = socket.create_connection(address)
        response = read_models(context.wrap_socket(connection))
        assert response.startswith(b"HTTP/1.1 200")
        assert b"demo-7b" in response
        try:
            plain_response = read_models(socket.create_connection(address))
        except OSError:
            plain_response = b""
        assert b"demo-7b" not in plain_response


def test_messages_of_peers_with_another_key_are_ignored() -> None:
    keys = {"peer_keys": PEER_KEYS}
    with Deployment(
        entries=2, engines=1, services=1, entry_settings=keys
    ) as deployment:
        coordinators = {
            pool["coordinator"]
            for name in deployment.operator_addresses
            for pool in deployment.fetch_status(name)["pools"]
        }
        assert coordinators == {"entry-0", "entry-1"}
        deployment.entry_settings = {"peer_keys": OTHER_KEYS}
        deployment.start_entry("stranger")
        deployment.wait_until(
            lambda: bool(deployment.fetch_status("stranger").get("ready"))
        )
        gevent.sleep(3.0)
        for pool in deployment.fetch_status("stranger")["pools"]:
            assert pool["coordinator"] == "stranger" or not pool["granted"]
