"""
Connections from callers
========================

Reads HTTP/1.1 requests from callers' connections, passes them to a request handler and
sends the responses.  Parsing is done by h11, I/O by gevent's sockets.
"""

import math
import struct
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from typing import Any

import gevent
import h11
import msgspec
from gevent import socket

from damasklead.body_buffer import Body, BodyBuffer
from damasklead.clock import Clock
from damasklead.gateway.caller_closing import UnreadClose, drop_unread, find_unread
from damasklead.gateway.caller_sender import (
    CallerClosed,
    CallerDisconnected,
    CallerSender,
)
from damasklead.gateway.calls import Header
from damasklead.gateway.lingering_connections import LingeringConnections
from damasklead.gateway.routing import CallerLimits
from damasklead.memory_budget import (
    HeldKind,
    Holding,
    MemoryAccount,
    MemoryBudget,
    MemoryCharge,
)
from damasklead.memory_shortage import Stage
from damasklead.request_targets import to_origin_form
from damasklead.sockets import is_readable, set_tcp_options, set_user_timeout
from damasklead.turns import TurnBudget

__all__ = [
    "CallerClosed",
    "CallerConnection",
    "CallerDisconnected",
    "RawRequest",
    "Rejection",
    "RequestHandler",
]

RECEIVE_BYTES = 65_536
# Receive buffer of a connection if memory is limited; the kernel doubles it.  Its own
# choice grows with each long request, and what it holds unread counts as memory.
RECEIVE_BUFFER_BYTES = 131_072
# Bytes of pipelined requests that are buffered while a request is being answered.
MAX_PIPELINED_BYTES = 131_072
# The same while the requests of all callers exceed their budget.
MAX_SCARCE_PIPELINED_BYTES = 4_096
# Retry-After of a request that found no memory for its body.
OUT_OF_MEMORY_RETRY_SECONDS = 0.5
# Retry-After of a request that exceeds the limits before those of a configuration are
# known.
UNKNOWN_LIMITS_RETRY_SECONDS = 0.5
_LINE_ENDS = b"\r\n"
_LIMIT_STATUSES = frozenset({413, 431})
# Longest response that is copied in order to pass it to the system in one call.
MAX_JOINED_BYTES = 16_384
# Linger option with which closing a connection resets it and drops what is queued.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
# States of the parser in which all responses that began are complete.
_WHOLE_STATES = (h11.IDLE, h11.DONE, h11.MUST_CLOSE)


class _OutOfMemory(Exception):
    """The bodies of all callers exceed their budget."""


class _IdleConnectionClosed(BaseException):
    """The process closes an idle connection; ends the wait for its next request."""


class RawRequest:
    """
    A request as it was read from the connection, before it is decoded.

    Attributes
    ----------
    method, target : str
        From the request line; the target in origin form.
    headers : list
        Names, in the caller's spelling, and values.
    body : Body
        The complete body, without its transfer coding.
    arrival : float
        Clock reading in seconds when the head was complete.
    """

    def __init__(
        self,
        *,
        method: str,
        target: str,
        headers: list[Header],
        body: Body,
        arrival: float,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.arrival = arrival

    def release(self) -> None:
        """Release the memory of a long body."""
        if isinstance(self.body, BodyBuffer):
            self.body.release()

    @property
    def host(self) -> str:
        """The Host header; empty without one."""
        values = (value for name, value in self.headers if name.lower() == b"host")
        return next(values, b"").decode("latin-1")


class Rejection(msgspec.Struct, kw_only=True, frozen=True):
    """
    A request that the connection rejects itself, without its handler.

    Attributes
    ----------
    status : int
        HTTP status of the response.
    detail : str
        What is wrong with the request.
    unparsed_bytes : int
        Bytes that were received and not parsed yet.
    request_count : int
        Requests that were served on the connection before.
    """

    status: int
    detail: str
    unparsed_bytes: int
    request_count: int


class RequestHandler(ABC):
    """Serves the requests that arrive on callers' connections."""

    @abstractmethod
    def handle(self, request: RawRequest, connection: "CallerConnection") -> None:
        """Send the response to one request, or abort its connection."""

    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits on requests that are in force."""

    @property
    def knows_limits(self) -> bool:
        """Whether the limits are those of a configuration, not the built-in ones."""
        return True


class CallerConnection:
    """
    One connection from a caller, with keep-alive and pipelining.

    Parameters
    ----------
    raw : socket
        The accepted TCP connection.
    handler : RequestHandler
        Serves the requests.
    clock : Clock
    is_stopping : callable
        Returns whether the process is stopping; responses then close the connection.
    memory : MemoryBudget
        Budget of the requests on all connections, from their bodies to their responses.
    account : MemoryAccount or None
        Account of all bytes held for callers.  If it is limited, so are the sends to
        this caller.
    get_stall_seconds : callable
        Returns the seconds without an accepted byte after which a caller is
        disconnected; ``None`` for the configured idle timeout if the account is
        limited, and for no such limit otherwise.
    on_closed : callable or None
        Called with the cause when the connection is closed since its caller is slow, or
        for the sake of others.
    on_rejected : callable or None
        Called with each request that is rejected before it is read to its end.
    on_unread_close : callable or None
        Called when the connection is closed with bytes that were not read.
    lingering : LingeringConnections or None
        Gets the connection when a complete response may still be queued; ``None`` to
        close it at once.

    Attributes
    ----------
    request_id : str
        Id of the last request, for the log; set by its handler.
    cancel_on_disconnect : bool
        Whether the present request is cancelled when its caller closes or half-closes
        the connection.
    """

    def __init__(
        self,
        *,
        raw: socket.socket,
        handler: RequestHandler,
        clock: Clock,
        is_stopping: Callable[[], bool],
        memory: MemoryBudget,
        account: MemoryAccount | None = None,
        get_stall_seconds: Callable[[], float | None] = lambda: None,
        on_closed: Callable[[str], None] | None = None,
        on_rejected: Callable[[Rejection], None] | None = None,
        on_unread_close: Callable[[UnreadClose], None] | None = None,
        lingering: LingeringConnections | None = None,
    ) -> None:
        self._lingering = lingering
        self._on_rejected = on_rejected
        self._on_unread_close = on_unread_close
        self._memory = memory
        self._account = account or MemoryAccount(clock=clock)
        self._on_closed = on_closed
        self._holding = self._account.open(close=self._close_for_others)
        self._sender: CallerSender | None = None
        if self._account.is_limited or get_stall_seconds() is not None:
            self._sender = CallerSender(
                raw=raw,
                clock=clock,
                holding=self._holding,
                get_stall_seconds=lambda: (
                    get_stall_seconds() or handler.limits().idle_seconds
                ),
            )
        self._socket = raw
        self._handler = handler
        self._clock = clock
        self._is_stopping = is_stopping
        self._http = _create_parser()
        self._turn = TurnBudget()
        self._idle_watcher: Any = None
        self._half_closed = False
        self._head_sent = False
        self._request_count = 0
        self._knows_limits = True  # when the limits were last read
        self._was_closed = False  # since it is slow, or for the sake of others
        self.request_id = ""
        self.cancel_on_disconnect = True

    @property
    def stage(self) -> Stage:
        """What the connection is doing."""
        return self._holding.stage

    @property
    def holding(self) -> Holding:
        """What is held for the connection."""
        return self._holding

    @property
    def is_limited(self) -> bool:
        """Whether the bytes held for this and all other callers are limited."""
        return self._account.is_limited

    @property
    def longest_wait_seconds(self) -> float:
        """Longest time that the caller has held up the present response."""
        return 0.0 if self._sender is None else self._sender.longest_wait_seconds

    @property
    def waited_seconds(self) -> float:
        """Time that the caller has held up its responses."""
        return 0.0 if self._sender is None else self._sender.waited_seconds

    @property
    def is_half_closed(self) -> bool:
        """Whether the caller has closed its side while a request was served."""
        return self._half_closed

    @property
    def head_sent(self) -> bool:
        """Whether the head of the present request's response was sent."""
        return self._head_sent

    def serve(self) -> None:
        """Serve requests one after the other until the connection ends."""
        may_stall = False
        try:
            set_tcp_options(self._socket)
            if self._sender is not None:
                self._sender.set_options()
                self._limit_receive_buffer()
            else:
                # The kernel's timeout would also reset callers that read slowly; the
                # deadline of a request ends its send.
                set_user_timeout(self._socket, 0)
            if self._account.is_exceeded:
                self._refuse_connection("memory")
                return
            self._holding.enter(Stage.IDLE)
            while self._serve_request():
                pass
            if self._holding.is_closing:
                self._report_closed(self._holding.closing_cause)
            may_stall = not self._was_closed and self._http.our_state in _WHOLE_STATES
            if may_stall and self._head_sent:
                drop_unread(
                    self._socket,
                    clock=self._clock,
                    turn=self._turn,
                    longest_seconds=self._handler.limits().idle_seconds,
                    may_go_on=lambda: not self._account.is_exceeded,
                    expects_more=self._http.their_state is h11.SEND_BODY,
                )
        except CallerClosed as error:
            self._reset()
            self._report_closed(error.cause)
        except (CallerDisconnected, OSError):
            pass  # the caller has disconnected, so no response can be sent
        finally:
            if self._http.our_state is h11.SEND_BODY:
                # An orderly close would make a truncated body without a length look
                # complete.
                with suppress(OSError):
                    self._reset()
            if self._sender is not None:
                self._sender.prepare_close(may_stall=may_stall)
            else:
                self._limit_close()
            if may_stall and self._lingering is not None:
                self._lingering.close(
                    self._socket,
                    request=self.request_id,
                    request_count=self._request_count,
                )
            else:
                self._report_unread()
                self._socket.close()
            self._holding.end()

    def _limit_receive_buffer(self) -> None:
        if self._account.is_limited:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )

    def _report_unread(self) -> None:
        if self._on_unread_close is None:
            return
        close = find_unread(
            self._socket, request=self.request_id, request_count=self._request_count
        )
        if close is not None:
            self._on_unread_close(close)

    def _limit_close(self) -> None:
        """Let the kernel drop what the caller doesn't read after the close."""
        seconds = self._handler.limits().idle_seconds
        with suppress(OSError):
            set_user_timeout(self._socket, max(1, math.ceil(1_000 * seconds)))

    def refuse(self) -> None:
        """Refuse the connection since there are too many, and close it."""
        try:
            self._refuse_connection("descriptors")
        except OSError:
            pass  # the caller has disconnected
        finally:
            self._socket.close()
            self._holding.end()

    def close_if_idle(self) -> None:
        """
        Close the connection if no request is being read or answered.

        A request that has arrived but was not read yet is still read and answered;
        later ones are not.
        """
        if self._idle_watcher is not None:
            # Has no effect if the wait has already ended.
            socket.cancel_wait(self._idle_watcher, _IdleConnectionClosed())

    def send_response(
        self,
        status: int,
        headers: Sequence[Header],
        body: bytes,
        *,
        close: bool = False,
    ) -> None:
        """Send a complete response."""
        framed = [*headers, (b"Content-Length", b"%d" % len(body))]
        head = self._render_head(status, framed, close=close)
        data = self._http.send(h11.Data(data=body)) or b""
        end = self._http.send(h11.EndOfMessage()) or b""
        if self._sender is None or len(data) <= MAX_JOINED_BYTES:
            self._send(head + data + end)
        else:
            self._send(head + data[:MAX_JOINED_BYTES])
            self._send(memoryview(data)[MAX_JOINED_BYTES:])
            self._send(end)

    def start_response(
        self, status: int, headers: Sequence[Header], data: bytes
    ) -> None:
        """
        Send the head and the first bytes of a response that is relayed as it arrives.

        Its body is chunked unless the headers state a length.
        """
        head = self._render_head(status, headers, close=False)
        self._send(head + (self._http.send(h11.Data(data=data)) or b""))

    def send_body_data(self, data: bytes) -> None:
        """Send further bytes of the response's body."""
        self._send(self._http.send(h11.Data(data=data)) or b"")

    def end_response(self) -> None:
        """Mark the response as complete."""
        self._send(self._http.send(h11.EndOfMessage()) or b"")

    def abort(self) -> None:
        """Close the connection without marking the response as complete."""
        if self._sender is not None or self._http.their_http_version == b"1.0":
            # The end of the connection would mark it for a caller that uses HTTP/1.0.
            # A limited sender has switched off the kernel's timeout, so that what is
            # queued of this worthless response would stay as long as callers like.
            self._reset()
        self._http.send_failed()
        self._socket.close()

    def _send(self, data: bytes | memoryview) -> None:
        if self._sender is None:
            self._socket.sendall(data)
        else:
            self._sender.send(data)

    def _reset(self) -> None:
        """Make the end of the connection a reset, which drops what is queued."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def _refuse_connection(self, cause: str) -> None:
        self._report_closed(cause)
        self._send_error(
            503, "too many connections", retry_after=OUT_OF_MEMORY_RETRY_SECONDS
        )

    def _report_closed(self, cause: str) -> None:
        self._was_closed = True
        if self._on_closed is not None:
            self._on_closed(cause)

    def _close_for_others(self, cause: str) -> None:
        """Close the connection for the sake of others, unless its stage changes."""
        stage = self._holding.stage
        if stage is Stage.IDLE:
            self.close_if_idle()
        elif stage is Stage.READING:
            # Has no effect if the wait has already ended.
            socket.cancel_wait(self._socket._read_event, TimeoutError())
        elif stage is Stage.SENDING and self._sender is not None:
            self._sender.cancel(cause)

    def _render_head(
        self, status: int, headers: Sequence[Header], *, close: bool
    ) -> bytes:
        all_headers = list(headers)
        if close or self._is_stopping():
            all_headers.append((b"Connection", b"close"))
        self._head_sent = True
        if self._holding.stage is not Stage.SENDING:
            self._holding.enter(Stage.SENDING)
        return (
            self._http.send(h11.Response(status_code=status, headers=all_headers))
            or b""
        )

    def _serve_request(self) -> bool:
        """Read and serve one request; returns whether another may follow."""
        self._head_sent = False
        self.cancel_on_disconnect = True
        self._holding.hold(HeldKind.REQUEST, len(self._http.trailing_data[0]))
        with MemoryCharge(budget=self._memory) as charge:
            may_continue = self._read_and_handle(charge)
        self._holding.end_request()
        return may_continue

    def _read_and_handle(self, charge: MemoryCharge) -> bool:
        try:
            request = self._read_request(charge)
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))
            return False
        except TimeoutError:
            if self._holding.is_closing:
                self._report_closed(self._holding.closing_cause)
            if self._holding.stage is Stage.READING:
                self._send_error(408, "the request did not arrive in time")
            return False
        except _OutOfMemory:
            self._refuse_large()
            return False
        if request is None:
            return False
        self._request_count += 1
        self._holding.enter(Stage.WAITING)
        self._holding.begin_request()
        if self._sender is not None:
            self._sender.longest_wait_seconds = 0.0
        disconnect_watcher = gevent.spawn(
            self._watch_for_disconnect, gevent.getcurrent(), charge
        )
        try:
            self._handler.handle(request, self)
        finally:
            request.release()
            # Blocks until the watcher has ended: only one greenlet may read from a
            # socket.
            disconnect_watcher.kill()
        return self._prepare_next_request()

    def _prepare_next_request(self) -> bool:
        if self._half_closed or self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE or self._is_stopping():
            return False
        self._http.start_next_cycle()
        self._holding.enter(Stage.IDLE)
        return True

    def _read_request(self, charge: MemoryCharge) -> RawRequest | None:
        """Read a request; returns ``None`` if the connection ended before one."""
        if not self._wait_for_head():
            return None
        limits = self._read_limits()
        self._holding.enter(Stage.READING)
        event = self._next_event(limits)
        if isinstance(event, h11.ConnectionClosed):
            return None
        if not isinstance(event, h11.Request):
            raise h11.RemoteProtocolError(f"unexpected {type(event).__name__}")
        arrival = self._clock.now()
        headers = [
            (bytes(name), bytes(value)) for name, value in event.headers.raw_items()
        ]
        _check_framing(event.headers)
        target, headers = to_origin_form(event.target.decode("latin-1"), headers)
        self._reserve_body(event, limits)
        body = self._read_body(limits, charge)
        self._holding.end_reading()
        self._socket.settimeout(None)
        return RawRequest(
            method=event.method.decode("ascii"),
            target=target,
            headers=headers,
            body=body,
            arrival=arrival,
        )

    def _read_limits(self) -> CallerLimits:
        """Return the limits in force, and note whether they are known."""
        self._knows_limits = self._handler.knows_limits
        return self._handler.limits()

    def _wait_for_head(self) -> bool:
        """
        Wait for the first byte of a request's head; drop blank lines before it.

        Some callers send a blank line after a body (RFC 9112, section 2.2).

        Returns
        -------
        bool
            ``False`` if the connection ended or was idle for too long.
        """
        buffered = self._http.trailing_data[0]
        head = buffered.lstrip(_LINE_ENDS)
        if len(head) < len(buffered):
            self._http = _create_parser()
        elif head:
            return True
        dropped_bytes = len(buffered) - len(head)
        while not head:
            limits = self._read_limits()
            if dropped_bytes > limits.head_bytes:
                raise h11.RemoteProtocolError("too many blank lines", 431)
            if not self._wait_for_request():
                return False
            data = self._socket.recv(RECEIVE_BYTES)
            if not data:
                return False
            self._turn.spend(size=len(data))
            head = data.lstrip(_LINE_ENDS)
            dropped_bytes += len(data) - len(head)
        self._http.receive_data(head)
        if not self._holding.receive(len(head)):
            raise _OutOfMemory
        return True

    def _wait_for_request(self) -> bool:
        """Wait for a request's first byte; returns whether there is data to read."""
        if self._holding.is_closing:
            return is_readable(self._socket)
        watcher = self._idle_watcher = gevent.get_hub().loop.io(
            self._socket.fileno(), 1
        )
        waited_seconds = 0.0
        try:
            # The timeout may grow with the configuration meanwhile.
            while (limit := self._handler.limits().idle_seconds) > waited_seconds:
                remaining = limit - waited_seconds
                try:
                    socket.wait(watcher, timeout=remaining, timeout_exc=TimeoutError())
                    return True
                except TimeoutError:
                    waited_seconds = limit
        except _IdleConnectionClosed:
            pass
        finally:
            self._idle_watcher = None
            watcher.close()
        return is_readable(self._socket)

    def _reserve_body(self, head: h11.Request, limits: CallerLimits) -> None:
        """Reserve memory for a body whose length is known, before it is read."""
        length = int(dict(head.headers).get(b"content-length", b"0"))
        if length > limits.body_bytes:
            raise h11.RemoteProtocolError("body is too long", 413)
        if not self._holding.reserve(length - len(self._http.trailing_data[0])):
            raise _OutOfMemory

    def _read_body(self, limits: CallerLimits, charge: MemoryCharge) -> Body:
        if self._http.they_are_waiting_for_100_continue:
            continue_response = h11.InformationalResponse(status_code=100, headers=[])
            self._socket.sendall(self._http.send(continue_response) or b"")
        body = BodyBuffer()
        self._socket.settimeout(limits.idle_seconds)
        while True:
            event = self._next_event(limits)
            if isinstance(event, h11.EndOfMessage):
                return body.finish()
            if not isinstance(event, h11.Data):
                raise CallerDisconnected
            body.add(event.data)
            if body.size > limits.body_bytes:
                raise h11.RemoteProtocolError("body is too long", 413)
            if not charge.add(len(event.data)):
                raise _OutOfMemory

    def _next_event(self, limits: CallerLimits) -> h11.Event:
        started_at: float | None = None
        received_bytes = 0
        while True:
            self._turn.spend(size=received_bytes)
            if self._holding.is_closing:
                raise TimeoutError
            buffered = self._http.trailing_data[0]
            event = self._http.next_event()
            if event is h11.PAUSED:
                raise CallerDisconnected
            if isinstance(event, h11.Request):
                rest_bytes = len(self._http.trailing_data[0])
                head = buffered[: len(buffered) - rest_bytes]
                if _is_too_long(head, limits.head_bytes):
                    raise h11.RemoteProtocolError("head is too long", 431)
            if isinstance(event, h11.Event):
                return event
            unparsed = self._http.trailing_data[0]
            unparsed_bytes = len(unparsed)
            if _is_too_long(unparsed, limits.head_bytes):
                raise h11.RemoteProtocolError("head is too long", 431)
            if unparsed_bytes and started_at is None:
                started_at = self._start_reading(limits)
            if started_at is not None:
                remaining = started_at + limits.head_seconds - self._clock.now()
                if remaining <= 0:
                    raise TimeoutError
                self._socket.settimeout(remaining)
            data = self._socket.recv(RECEIVE_BYTES)
            if started_at is None and data and self._http.their_state is h11.IDLE:
                started_at = self._start_reading(limits)
            self._http.receive_data(data)
            received_bytes = len(data)
            if not self._holding.receive(received_bytes):
                raise _OutOfMemory

    def _start_reading(self, limits: CallerLimits) -> float:
        self._holding.enter(Stage.READING)
        return self._clock.now()

    def _refuse_large(self) -> None:
        """Refuse a request for which there is no memory."""
        detail = "too many large requests"
        self._report_rejected(503, detail)
        self._send_error(503, detail, retry_after=OUT_OF_MEMORY_RETRY_SECONDS)

    def _reject(self, status: int, detail: str) -> None:
        """Reject a request that is not valid, or may not be."""
        self._report_rejected(status, detail)
        if status in _LIMIT_STATUSES and not self._knows_limits:
            self._send_error(503, detail, retry_after=UNKNOWN_LIMITS_RETRY_SECONDS)
        else:
            self._send_error(status, detail)

    def _report_rejected(self, status: int, detail: str) -> None:
        if self._on_rejected is not None:
            self._on_rejected(
                Rejection(
                    status=status,
                    detail=detail,
                    unparsed_bytes=len(self._http.trailing_data[0]),
                    request_count=self._request_count,
                )
            )

    def _send_error(
        self, status: int, detail: str, *, retry_after: float | None = None
    ) -> None:
        """Reject a request that was not read, if a response can still be sent."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        headers = [(b"Content-Type", b"text/plain")]
        if retry_after is not None:
            headers.append((b"Retry-After", b"%.1f" % retry_after))
        self.send_response(status, headers, detail.encode(), close=True)

    def _watch_for_disconnect(
        self, serving_greenlet: gevent.Greenlet, charge: MemoryCharge
    ) -> None:
        """Cancel the request when its caller disconnects; buffer pipelined ones."""
        turn = TurnBudget()
        pipelined_bytes = len(self._http.trailing_data[0])
        has_memory = charge.add(pipelined_bytes) and not self._account.is_exceeded
        while pipelined_bytes < (
            MAX_PIPELINED_BYTES if has_memory else MAX_SCARCE_PIPELINED_BYTES
        ):
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except OSError:
                data = b""
            if not data:
                self._half_closed = True
                if self.cancel_on_disconnect:
                    gevent.kill(serving_greenlet, CallerDisconnected())
                return
            pipelined_bytes += len(data)
            has_memory = charge.add(len(data))
            has_memory &= self._holding.add(HeldKind.REQUEST, len(data))
            self._http.receive_data(data)
            turn.spend(size=len(data))


def _create_parser() -> h11.Connection:
    # The limit of the head may change while the connection is open.
    return h11.Connection(h11.SERVER, max_incomplete_event_size=sys.maxsize)


def _is_too_long(head: bytes, limit: int) -> bool:
    """
    Return whether a head, or the part of it that has arrived, exceeds its limit.

    Names and values of headers count, as at entries, and the whole head may be twice as
    long.
    """
    if len(head) <= limit:
        return False
    _, _, headers = head.rstrip(_LINE_ENDS).partition(b"\n")
    separator_bytes = len(b": \r\n") * headers.count(b"\n") + len(b": ")
    return len(headers) - separator_bytes > limit or len(head) > 2 * limit


def _check_framing(headers: Iterable[Header]) -> None:
    """Reject ambiguous framing, which would allow request smuggling."""
    names = [name for name, _ in headers]
    if b"content-length" in names and b"transfer-encoding" in names:
        raise h11.RemoteProtocolError("both a length and a transfer coding")
    if names.count(b"host") != 1:
        raise h11.RemoteProtocolError("not exactly one Host header")
