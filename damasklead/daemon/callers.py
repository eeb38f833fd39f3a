"""
Callers' listener
=================

The HTTP interface for callers, on gevent's WSGI server.
"""

import hashlib
import re
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec

from damasklead.body_buffer import BodyBuffer
from damasklead.claims import Claim
from damasklead.configuration import (
    Configuration,
    RequestClass,
    Service,
    ServiceKind,
    Workspace,
)
from damasklead.crash_attribution import make_part_fingerprint
from damasklead.daemon.caller_connection import CallerConnection
from damasklead.daemon.entry import Entry
from damasklead.daemon.exchange import Exchange
from damasklead.daemon.pools import Pool
from damasklead.daemon.replies import ResponseHead, digest_request
from damasklead.decoding import decode_json
from damasklead.ids import AttemptId, Fingerprint, RequestId, ServiceName
from damasklead.memory_budget import HeldKind, MemoryCharge
from damasklead.memory_shortage import Stage
from damasklead.problems import Problem
from damasklead.requests import Outcome, Request
from damasklead.upstreams import UpstreamRequest
from damasklead.util import new_id

__all__ = ["OUTCOME_HEADER", "CallerApplication"]

COMPLETIONS_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
# Problems of requests that another configuration may allow.
CONFIGURED_KINDS = frozenset(
    {"key", "class", "unknown-model", "unknown-service", "idempotency-key"}
)
OUTCOME_HEADER = "X-Damasklead-Outcome"
READ_BYTES = 65_536  # of a body at once
BYTES_PER_TOKEN = 4  # of the encoded messages, for estimating the prompt's tokens
PREFIX_BYTES = 1024  # of the encoded messages, for finding a shared prefix
ID_PATTERN = re.compile(r"^[A-Za-z0-9._:-]{1,128}$")
KEY_PATTERN = re.compile(r"^[\x21-\x7e]{1,128}$")
FORWARDED_HEADERS = {
    "HTTP_ACCEPT": "Accept",
    "HTTP_ACCEPT_LANGUAGE": "Accept-Language",
    "CONTENT_TYPE": "Content-Type",
    "HTTP_TRACEPARENT": "Traceparent",
}

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerApplication:
    """
    The WSGI application that serves callers.

    Parameters
    ----------
    entry : Entry
        State of this entry.
    """

    def __init__(self, *, entry: Entry) -> None:
        self._entry = entry

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        request_id = _get_request_id(environ)
        connection: CallerConnection | None = environ["damasklead.connection"]
        if connection is not None:
            connection.request_id = request_id
        try:
            exchange = self._open_exchange(environ)
        except Problem as problem:
            if problem.kind in CONFIGURED_KINDS and self._entry.may_be_outdated:
                problem = _make_outdated_problem()
            return _send_problem(problem, request_id, start_response)
        if isinstance(exchange, bytes):
            headers = [
                ("Content-Type", "application/json"),
                *_make_common_headers(request_id),
            ]
            start_response("200 OK", headers)
            return [exchange]
        return _ResponseBody(
            exchange=exchange, start_response=start_response, request_id=request_id
        )

    def _open_exchange(self, environ: Environ) -> Exchange | bytes:
        """
        Check a request and return its exchange, or the list of models as JSON.

        Raises
        ------
        Problem
            When the request is invalid or can't be served.
        """
        configuration = self._entry.configuration_holder.configuration
        if configuration is None or not self._entry.is_ready:
            raise Problem(
                status=503,
                kind="not-ready",
                title="This entry is not ready",
                retry_after=1.0,
            )
        workspace = _authenticate(configuration, environ)
        self._admit(environ)
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path == MODELS_PATH and method == "GET":
            return _encode_models(configuration)
        if path == COMPLETIONS_PATH:
            if method != "POST":
                raise Problem(status=405, kind="method", title="POST is needed here")
            return self._open_completion(environ, configuration, workspace)
        if path.startswith(SERVICES_PREFIX):
            return self._open_service(environ, configuration, workspace)
        raise Problem(
            status=404, kind="not-found", title="There is nothing at this path"
        )

    def _admit(self, environ: Environ) -> None:
        """Charge a request; raise ``Problem`` if there is no memory for it."""
        connection: CallerConnection | None = environ["damasklead.connection"]
        if connection is not None and not (
            self._entry.memory.admit_request() and connection.begin_request()
        ):
            raise _make_memory_problem()

    def _open_completion(
        self,
        environ: Environ,
        configuration: Configuration,
        workspace: Workspace,
    ) -> Exchange:
        """Return the exchange of a request for a completion by a model."""
        body = self._read_body(environ)
        document = _parse_completion(body)
        service = configuration.find_service_by_model(document["model"])
        if service is None:
            raise _make_problem(
                "unknown-model", "No service offers this model", "model", status=404
            )
        request_class = _classify(
            configuration, service, workspace, environ, COMPLETIONS_PATH
        )
        messages = msgspec.json.encode(document["messages"])
        request = Request(
            id=RequestId(new_id()),
            workspace=workspace.name,
            request_class=request_class,
            arrival=self._entry.clock.now(),
            prompt_tokens=len(messages) // BYTES_PER_TOKEN,
            prefix=hashlib.sha256(messages[:PREFIX_BYTES]).hexdigest()[:16],
            fingerprint=Fingerprint(hashlib.sha256(messages).hexdigest()[:24]),
            prompt_parts=_fingerprint_parts(document["messages"]),
            model=document["model"],
            weight=workspace.weight,
        )
        return self._make_exchange(
            environ,
            service,
            request,
            path=COMPLETIONS_PATH,
            body=body,
            stream=bool(document.get("stream")),
            document=document,
        )

    def _open_service(
        self,
        environ: Environ,
        configuration: Configuration,
        workspace: Workspace,
    ) -> Exchange:
        """Return the exchange of a request to a service without models."""
        name, _, rest = environ["PATH_INFO"][len(SERVICES_PREFIX) :].partition("/")
        service = configuration.services.get(name)
        if service is None or service.kind is not ServiceKind.PLAIN:
            raise Problem(
                status=404, kind="unknown-service", title="There is no such service"
            )
        path = "/" + rest
        request_class = _classify(configuration, service, workspace, environ, path)
        body = self._read_body(environ)
        request = Request(
            id=RequestId(new_id()),
            workspace=workspace.name,
            request_class=request_class,
            arrival=self._entry.clock.now(),
            weight=workspace.weight,
        )
        query = environ.get("QUERY_STRING", "")
        target = f"{path}?{query}" if query else path
        return self._make_exchange(
            environ, service, request, path=target, body=body, stream=False
        )

    def _make_exchange(
        self,
        environ: Environ,
        service: Service,
        request: Request,
        *,
        path: str,
        body: bytes,
        stream: bool,
        document: dict[str, Any] | None = None,
    ) -> Exchange:
        """Return the exchange of a checked request."""
        method = environ["REQUEST_METHOD"]
        upstream_request = UpstreamRequest(
            attempt=AttemptId(""),
            method=method,
            path=path,
            headers=_select_forwarded_headers(environ),
            body=body,
            priority=request.tier,
            is_idempotent=request.request_class.may_repeat,
            read_timeout=self._entry.settings.limits.upstream_idle_seconds,
        )
        exchange = Exchange(
            entry=self._entry,
            pool=self._get_pool(service),
            request=request,
            upstream_request=upstream_request,
            stream=stream,
            document=document,
            claim=self._make_claim(
                environ, request, digest_request(method, path, body)
            ),
        )
        exchange.caller_socket = environ.get("damasklead.socket")
        exchange.connection = environ["damasklead.connection"]
        if exchange.connection is not None:
            exchange.connection.holding.enter(Stage.WAITING)
        return exchange

    def _get_pool(self, service: Service) -> Pool:
        return self._entry.pools[ServiceName(service.name)]

    def _make_claim(
        self, environ: Environ, request: Request, digest: str
    ) -> Claim | None:
        """Return the claim of a request that may be executed only once."""
        if request.request_class.may_repeat:
            return None
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if not KEY_PATTERN.match(key):
            raise _make_problem(
                "idempotency-key",
                "A request of this class needs a key of 1 to 128 printable characters",
                "Idempotency-Key",
            )
        return Claim(
            workspace=request.workspace,
            key=key,
            attempt=AttemptId(""),
            body_digest=digest,
            holder=self._entry.instance,
            incarnation=self._entry.incarnation,
            generation=self._entry.generation,
        )

    def _read_body(self, environ: Environ) -> bytes:
        """Read the request's body and check its length."""
        limit = self._entry.settings.limits.body_bytes
        content_length = environ.get("CONTENT_LENGTH") or "0"
        if not content_length.isdigit():
            raise _make_problem(
                "content-length", "The length is not a number", "Content-Length"
            )
        if int(content_length) > limit:
            raise _make_too_large_problem(limit)
        body = self._read_charged(environ, limit)
        if len(body) < int(content_length):
            raise _make_problem(
                "body", "The body is shorter than its stated length", "Content-Length"
            )
        return body

    def _read_charged(self, environ: Environ, limit: int) -> bytes:
        """Read a body and charge it to the budget of all callers' requests."""
        charge: MemoryCharge = environ["damasklead.charge"]
        connection: CallerConnection | None = environ["damasklead.connection"]
        body = BodyBuffer()
        while data := environ["wsgi.input"].read(READ_BYTES):
            body.add(data)
            if body.size > limit:
                raise _make_too_large_problem(limit)
            if not charge.add(len(data)) or not (
                connection is None
                or connection.holding.add(HeldKind.REQUEST, len(data))
            ):
                raise _make_memory_problem()
        return body.take()


class _ResponseBody:
    """
    The body of a response as an iterable for the WSGI server.

    The head is sent when the first part of the response is available.

    Parameters
    ----------
    exchange : Exchange
        The exchange that yields the response.
    start_response : callable
        The WSGI server's function that sends the head.
    request_id : str
        Id for the ``X-Request-ID`` header of the response.
    """

    def __init__(
        self,
        *,
        exchange: Exchange,
        start_response: StartResponse,
        request_id: RequestId,
    ) -> None:
        self._parts = exchange.generate_response()
        self._start_response = start_response
        self._request_id = request_id

    def __iter__(self) -> Iterator[bytes]:
        has_sent_head = False
        for part in self._parts:
            if isinstance(part, ResponseHead):
                has_sent_head = True
                self._send_head(part)
            elif isinstance(part, bytes):
                yield part
            elif has_sent_head:
                yield _make_error_event(part)
            else:
                yield from _send_problem(part, self._request_id, self._start_response)

    def close(self) -> None:
        """
        Cancel the request if its response is not complete.

        The WSGI server calls this at the end of the response and when the caller has
        disconnected.
        """
        self._parts.close()

    def _send_head(self, head: ResponseHead) -> None:
        outcome = (OUTCOME_HEADER, Outcome.ANSWERED.value)
        headers = [*head.headers, ("X-Request-ID", self._request_id), outcome]
        self._start_response(f"{head.status} Answer", headers)


def _get_request_id(environ: Environ) -> RequestId:
    """
    Return the caller's id of the request, or a new one.

    The caller's ids need not be unique.
    """
    caller_id = environ.get("HTTP_X_REQUEST_ID", "")
    return RequestId(caller_id if ID_PATTERN.match(caller_id) else new_id())


def _make_common_headers(request_id: RequestId) -> list[tuple[str, str]]:
    return [("X-Request-ID", request_id), (OUTCOME_HEADER, Outcome.ANSWERED.value)]


def _send_problem(
    problem: Problem, request_id: RequestId, start_response: StartResponse
) -> list[bytes]:
    headers = [
        ("Content-Type", "application/problem+json"),
        ("X-Request-ID", request_id),
        (OUTCOME_HEADER, problem.outcome.value),
    ]
    if problem.retry_after is not None:
        headers.append(("Retry-After", str(max(1, round(problem.retry_after)))))
    start_response(f"{problem.status} Problem", headers)
    return [problem.encode()]


def _make_error_event(problem: Problem) -> bytes:
    """Return the event that ends a stream that can't be completed."""
    return b"event: error\ndata: " + problem.encode() + b"\n\n"


def _authenticate(configuration: Configuration, environ: Environ) -> Workspace:
    """Return the workspace of the request's bearer key."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    workspace = (
        configuration.authenticate(key.strip()) if scheme.lower() == "bearer" else None
    )
    if workspace is None:
        raise _make_problem(
            "key", "A valid bearer key is needed", "Authorization", status=401
        )
    return workspace


def _classify(
    configuration: Configuration,
    service: Service,
    workspace: Workspace,
    environ: Environ,
    path: str,
) -> RequestClass:
    requested_class = environ.get("HTTP_X_REQUEST_CLASS")
    request_class = configuration.classify(
        service,
        workspace=workspace,
        method=environ["REQUEST_METHOD"],
        path=path,
        requested_class=requested_class,
    )
    if request_class is None:
        raise _make_problem(
            "class", "No class admits this request", "X-Request-Class", status=403
        )
    return request_class


def _fingerprint_parts(messages: list[Any]) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of all messages but the last, which others may share."""
    return tuple(
        make_part_fingerprint(
            hashlib.sha256(msgspec.json.encode(message)).hexdigest()[:16]
        )
        for message in messages[:-1]
    )


def _parse_completion(body: bytes) -> dict[str, Any]:
    """Decode the body of a completion request and check the fields that are used."""
    try:
        document = decode_json(body, type=object)
    except msgspec.DecodeError as error:
        raise _make_problem("json", "The body is not valid JSON", "body") from error
    if not isinstance(document, dict):
        raise _make_problem("json", "The body is not a JSON object", "body")
    if not isinstance(document.get("model"), str):
        raise _make_problem("field", "The model's name is missing", "model")
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _make_problem("field", "A list of messages is needed", "messages")
    if not all(isinstance(message, dict) for message in messages):
        raise _make_problem("field", "Each message must be an object", "messages")
    if not isinstance(document.get("stream", False), bool):
        raise _make_problem("field", "stream must be true or false", "stream")
    return document


def _encode_models(configuration: Configuration) -> bytes:
    """Return the list of models as JSON."""
    names = sorted(
        model for service in configuration.services.values() for model in service.models
    )
    data = [{"id": name, "object": "model", "owned_by": "damasklead"} for name in names]
    return msgspec.json.encode({"object": "list", "data": data})


def _select_forwarded_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    """Return the caller's headers that are sent to the upstream."""
    return tuple(
        (name, environ[key])
        for key, name in FORWARDED_HEADERS.items()
        if environ.get(key)
    )


def _make_problem(kind: str, title: str, field: str, *, status: int = 400) -> Problem:
    return Problem(status=status, kind=kind, title=title, field=field)


def _make_memory_problem() -> Problem:
    return Problem(
        status=503, kind="no-memory", title="Too many large requests", retry_after=1.0
    )


def _make_outdated_problem() -> Problem:
    return Problem(
        status=503,
        kind="outdated",
        title="This entry lacks the newest configuration, which may allow the request",
        retry_after=1.0,
    )


def _make_too_large_problem(limit: int) -> Problem:
    return _make_problem(
        "too-large", f"The body is longer than {limit} bytes", "body", status=413
    )
