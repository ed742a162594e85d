"""Request-reply messaging between processes over pynng REQ/REP sockets.

A REQ context matches one reply to one request. Automatic resending is disabled: if the
connection breaks, the request fails immediately and the caller decides what to do.
"""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Iterable, Iterator

import logbook
import pynng
from result import Err, Ok, Result

from pollenkeel_kernel.core.clock import Clock
from pollenkeel_kernel.core.codec import decode, encode
from pollenkeel_kernel.core.codes import Code, find_code
from pollenkeel_kernel.core.messages import ErrorReply, Message
from pollenkeel_kernel.core.metrics import MESSAGES_REFUSED, PEER_REDIALS
from pollenkeel_kernel.core.refusal import Refusal

logger = logbook.Logger("transport")

Handler = Callable[[Message], Message]

#: Maximum message size; the receiving socket drops larger messages.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_RESEND_DISABLED = -1
_RECONNECT_MIN_MS = 50
_RECONNECT_MAX_MS = 1000
#: Interval at which an idle thread checks whether it should end.
_IDLE_CHECK_INTERVAL_MS = 500
_MAX_IDLE_THREADS = 2
#: A call may time out up to this many seconds before its deadline, because timeouts are
#: whole milliseconds.
TIMEOUT_ROUNDING = 0.002
#: Codes of calls without a reply; any other code means that the peer replied.
_NO_REPLY_CODES = frozenset({Code.PEER_UNREACHABLE, Code.NO_REPLY})
#: Maximum time to wait for the threads of a server that is being closed.
_CLOSE_TIMEOUT_SECONDS = 5.0


class ReplyServer:
    """Server that handles each message in a thread of a dynamic pool.

    A thread is added whenever none is idle, up to ``max_threads``, so that long
    dispatches do not delay heartbeats. Surplus idle threads end.

    Parameters
    ----------
    address : str
        ``tcp://IP:PORT``; port 0 lets the operating system choose the port.
    sender : str
        Id of this process, used in error replies.
    clock : Clock
        Clock for time stamps.
    handler : callable
        Returns the reply to a message; an exception is reported as code 9000.
    max_threads : int
        Maximum number of threads.
    """

    def __init__(
        self,
        address: str,
        sender: str,
        clock: Clock,
        handler: Handler,
        max_threads: int = 128,
    ) -> None:
        self._sender = sender
        self._clock = clock
        self._handler = handler
        self._max_threads = max_threads
        self._lock = threading.Lock()
        self._closing = False
        self._idle_count = 0
        self._threads: set[threading.Thread] = set()
        self._socket = pynng.Rep0(recv_max_size=MAX_MESSAGE_BYTES)
        self._socket.recv_timeout = _IDLE_CHECK_INTERVAL_MS
        self._listener = self._socket.listen(address)
        self.address = f"tcp://{self._listener.local_address}"
        self._start_thread()

    def close(self) -> None:
        """Stop listening, reply to received messages and close the socket.

        The socket is closed only after its threads have ended, because nng can abort
        the process or block forever if a socket is closed while another thread sends on
        one of its contexts. If a handler does not return in time, the socket stays
        open.
        """
        with self._lock:
            if self._closing:
                return
            self._closing = True
            threads = set(self._threads)
        with contextlib.suppress(pynng.exceptions.NNGException):
            self._listener.close()
        deadline = self._clock.now() + _CLOSE_TIMEOUT_SECONDS
        for thread in threads - {threading.current_thread()}:
            thread.join(max(0.0, deadline - self._clock.now()))
        if not any(thread.is_alive() for thread in threads):
            _close_socket(self._socket)

    def _start_thread(self) -> None:
        with self._lock:
            if self._closing:
                return
            self._idle_count += 1
            thread = threading.Thread(target=self._serve, name="reply", daemon=True)
            self._threads.add(thread)
            thread.start()

    def _serve(self) -> None:
        with _close_on_exit(self._socket.new_context()) as context:
            while self._serve_next(context):
                pass

    def _serve_next(self, context: pynng.Context) -> bool:
        """Handle one message; return False if the thread should end."""
        try:
            data = context.recv()
        except pynng.exceptions.Timeout:
            return not self._retire_thread(_MAX_IDLE_THREADS)
        self._mark_busy()
        reply = encode(self._make_reply(data))
        with self._lock:
            self._idle_count += 1
        # The peer may have disconnected; the reply is then dropped by design.
        with contextlib.suppress(pynng.exceptions.NNGException):
            context.send(reply)
        # Surplus threads end after an idle timeout, see above; here, the thread ends if
        # the server is closing.
        return not self._retire_thread(self._max_threads)

    def _retire_thread(self, max_idle: int) -> bool:
        """Deregister this thread if it should end, and return whether it should.

        It should end if the server is closing or too many threads are idle.
        """
        with self._lock:
            should_end = self._closing or self._idle_count > max_idle
            if should_end:
                self._idle_count -= 1
                self._threads.discard(threading.current_thread())
            return should_end

    def _mark_busy(self) -> None:
        """Count this thread as busy, and start another one if none is idle."""
        with self._lock:
            self._idle_count -= 1
            add_thread = (
                self._idle_count == 0 and len(self._threads) < self._max_threads
            )
        if add_thread:
            self._start_thread()

    def _make_reply(self, data: bytes) -> Message:
        decoded = decode(data)
        if isinstance(decoded, Err):
            refusal = decoded.err_value
            MESSAGES_REFUSED.labels(refusal.code.value).inc()
            return self._make_error_reply(refusal)
        try:
            return self._handler(decoded.ok_value)
        except Exception as error:
            logger.exception("message handler failed")
            return self._make_error_reply(Refusal(Code.INTERNAL, type(error).__name__))

    def _make_error_reply(self, refusal: Refusal) -> ErrorReply:
        return ErrorReply(
            self._sender, self._clock.now(), refusal.code.value, refusal.detail
        )


class PeerClient:
    """Sends messages to one peer and waits for their replies.

    Parameters
    ----------
    address : str
        ``tcp://IP:PORT`` of the peer's ``ReplyServer``.
    clock : Clock
        Clock that deadlines refer to.

    Attributes
    ----------
    last_reply_at : float
        Time of the latest reply, in seconds since the Unix epoch; before the first
        reply, the time of construction.
    """

    def __init__(self, address: str, clock: Clock) -> None:
        self.address = address
        self.last_reply_at = clock.now()
        self._clock = clock
        self._lock = threading.Lock()
        self._closed = False
        self._open_calls = 0
        self._dialled_at = clock.now()
        self._socket = pynng.Req0(
            resend_time=_RESEND_DISABLED,
            recv_max_size=MAX_MESSAGE_BYTES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        self._dialer = self._socket.dial(address, block=False)

    @classmethod
    def open(cls, address: str, clock: Clock) -> PeerClient | None:
        """Return a client, or None if the address is invalid, which is logged.

        Addresses come from rows and messages that any writer may have written.
        """
        try:
            return cls(address, clock)
        except (pynng.exceptions.NNGException, TypeError, ValueError) as error:
            logger.warning(
                "invalid peer address",
                extra={"address": str(address)[:80], "cause": str(error)},
            )
            return None

    def call(
        self, message: Message, deadline: float, connect_deadline: float | None = None
    ) -> Result[Message, Refusal]:
        """Send a message and return its reply.

        Parameters
        ----------
        message : Message
            Message to send.
        deadline : float
            Deadline for the reply, in seconds since the Unix epoch.
        connect_deadline : float, optional
            Deadline for sending the message; defaults to ``deadline``.

        Returns
        -------
        Result[Message, Refusal]
            Code 2021 if the message was not sent, 3002 if it was sent but no reply
            arrived, 3003 if the reply cannot be decoded, or the code of the peer's
            ``ErrorReply``.
        """
        now = self._clock.now()
        send_ms = _to_timeout_ms((connect_deadline or deadline) - now)
        receive_ms = _to_timeout_ms(deadline - now)
        context = self._open_context(send_ms, receive_ms)
        if context is None:
            return Err(Refusal(Code.PEER_UNREACHABLE, f"{self.address}: closed"))
        try:
            with _close_on_exit(context):
                return self._exchange(context, encode(message))
        finally:
            self._end_call()

    def redial(self) -> None:
        """Replace the connection; pending calls on the old one fail immediately.

        Only the connection is closed, not the socket, because nng can block forever if
        a socket is closed while another thread uses it.
        """
        PEER_REDIALS.inc()
        with self._lock:
            if self._closed:
                return
            self._dialled_at = self._clock.now()
            pipes = self._socket.pipes
            if not pipes:
                # Dial again now; the pending dialer may wait long for its next attempt.
                old = self._dialer
                self._dialer = self._socket.dial(self.address, block=False)
                with contextlib.suppress(pynng.exceptions.NNGException):
                    old.close()
        _close_pipes(pipes)

    def redial_if_silent(self, seconds: float) -> bool:
        """Replace the connection if no reply has arrived for a time.

        A connection can stop delivering replies permanently while new connections
        work; missing replies are then the only symptom. Call this method after a call
        without a reply.

        Parameters
        ----------
        seconds : float
            Required time without a reply, counted from the last reply or redial,
            whichever is later.

        Returns
        -------
        bool
            Whether the connection was replaced.
        """
        if self._clock.now() - max(self.last_reply_at, self._dialled_at) < seconds:
            return False
        self.redial()
        return True

    def close(self) -> None:
        """Close the connection; pending calls fail immediately."""
        with self._lock:
            if self._closed:
                return
            self._closed = True
            unused = self._open_calls == 0
            pipes = self._socket.pipes
            with contextlib.suppress(pynng.exceptions.NNGException):
                self._dialer.close()
        _close_pipes(pipes)
        if unused:
            _close_socket(self._socket)

    def _exchange(
        self, context: pynng.Context, data: bytes
    ) -> Result[Message, Refusal]:
        try:
            context.send(data)
        except pynng.exceptions.NNGException as error:
            return Err(Refusal(Code.PEER_UNREACHABLE, f"{self.address}: {error}"))
        try:
            reply = context.recv()
        except pynng.exceptions.NNGException as error:
            return Err(Refusal(Code.NO_REPLY, f"{self.address}: {error}"))
        self.last_reply_at = self._clock.now()
        decoded = decode(reply).map_err(_to_broken_answer)
        return decoded.and_then(_error_reply_to_err)

    def _open_context(self, send_ms: int, receive_ms: int) -> pynng.Context | None:
        # A context inherits the socket's timeouts at the time when it is opened.
        with self._lock:
            if self._closed:
                return None
            self._socket.send_timeout = send_ms
            self._socket.recv_timeout = receive_ms
            context = self._socket.new_context()
            self._open_calls += 1
            return context

    def _end_call(self) -> None:
        with self._lock:
            self._open_calls -= 1
            last = self._closed and self._open_calls == 0
        if last:
            _close_socket(self._socket)


def is_answered(result: Result[Message, Refusal]) -> bool:
    """Return whether the peer replied to a call, including with an error."""
    return not (isinstance(result, Err) and result.err_value.code in _NO_REPLY_CODES)


def _to_broken_answer(refusal: Refusal) -> Refusal:
    # The peer received the message and may have acted on it, so the decoding error,
    # whose code means "not run", must not be returned.
    return Refusal(Code.ANSWER_BROKEN, f"undecodable reply: {refusal}")


def _error_reply_to_err(message: Message) -> Result[Message, Refusal]:
    if isinstance(message, ErrorReply):
        return Err(Refusal(find_code(message.code), message.detail))
    return Ok(message)


def _to_timeout_ms(seconds: float) -> int:
    return max(1, int(seconds * 1000))


def _close_pipes(pipes: Iterable[pynng.Pipe]) -> None:
    for pipe in pipes:
        with contextlib.suppress(pynng.exceptions.NNGException):
            pipe.close()


def _close_socket(socket: pynng.Socket) -> None:
    with contextlib.suppress(pynng.exceptions.NNGException):
        socket.close()


@contextlib.contextmanager
def _close_on_exit(context: pynng.Context) -> Iterator[pynng.Context]:
    try:
        yield context
    finally:
        # Closing a context of a closed socket raises Closed.
        with contextlib.suppress(pynng.exceptions.NNGException):
            context.close()
