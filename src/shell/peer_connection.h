// An HTTP/2 connection between two daemons: an nghttp2 session over an Asio TCP socket. peer_server and peer_client (peer_link.h) both
// use it.
#pragma once

#include "shell/asio_error.h"
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/peer_link.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicoryrouter {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

inline constexpr std::size_t maxOpenStreams = 256; // per connection; sent to the peer as SETTINGS_MAX_CONCURRENT_STREAMS

// Points to a header for nghttp2: `name` and `value` must live until the request or response is submitted.
inline nghttp2_nv peerHeader(const char *name, const std::string &value)
{
    // nghttp2 copies both and writes to neither, but its struct has non-const pointers.
    auto *nameBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(name));
    auto *valueBytes = reinterpret_cast<std::uint8_t *>(const_cast<char *>(value.data()));
    return {nameBytes, valueBytes, std::strlen(name), value.size(), NGHTTP2_NV_FLAG_NONE};
}

// An HTTP/2 stream: one request and its response.
struct peer_stream
{
    std::map<std::string, std::string> receivedHeaders; // empty after the stream was reset
    std::string receivedBody;
    std::string sendBody;      // complete before the request or response is submitted
    std::size_t sentBytes = 0; // of sendBody
    bool closed = false;
    bool tooLarge = false;                          // the received body exceeded maxPeerBodyBytes and the stream was reset
    std::shared_ptr<asio::steady_timer> closeEvent; // client only: a timer that is cancelled to wake the caller when the stream is closed
};

// Runs one nghttp2 session as server or client. Not thread-safe: all calls must run on the socket's executor. The server side passes each
// complete request to `onRequest`; the client side wakes the caller that waits for the response.
class peer_connection : public std::enable_shared_from_this<peer_connection>
{
public:
    peer_connection(tcp::socket socket, bool isServer, std::shared_ptr<peer_counters> counters)
        : m_socket(std::move(socket))
        , m_isServer(isServer)
        , m_counters(std::move(counters))
    {
        nghttp2_session_callbacks *callbacks = nullptr;
        nghttp2_session_callbacks_new(&callbacks);
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, onBeginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClose);
        if (isServer) {
            nghttp2_session_server_new(&m_session, callbacks, this);
        } else {
            nghttp2_session_client_new(&m_session, callbacks, this);
        }
        nghttp2_session_callbacks_del(callbacks);
        const std::array<nghttp2_settings_entry, 2> entries = {
            {{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, maxOpenStreams}, {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(maxPeerBodyBytes)}}};
        nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    }

    ~peer_connection() { nghttp2_session_del(m_session); }
    peer_connection(const peer_connection &) = delete;
    peer_connection &operator=(const peer_connection &) = delete;

    // Server only, set before start(): called with the stream id and the stream when a request is complete.
    std::function<void(std::int32_t, const std::shared_ptr<peer_stream> &)> onRequest;

    // Starts to read and sends the initial SETTINGS frame.
    void start()
    {
        asio::co_spawn(
            m_socket.get_executor(), [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->readLoop(); }, logged_end("peer connection"));
        flush();
    }

    // Sends a POST request. `time` and `proof` go into the headers `x-time` and `x-proof`. Returns null, and closes the connection, when
    // nghttp2 can't open a stream. Wait on the stream's `closeEvent` for the response.
    std::shared_ptr<peer_stream> submitRequest(const std::string &path, const std::string &time, const std::string &proof, std::string body)
    {
        const std::string method = "POST";
        const std::string scheme = "http";
        const std::string authority = "peer";
        const std::array<nghttp2_nv, 6> headers = {peerHeader(":method", method), peerHeader(":scheme", scheme), peerHeader(":authority", authority),
            peerHeader(":path", path), peerHeader("x-time", time), peerHeader("x-proof", proof)};
        auto stream = std::make_shared<peer_stream>();
        stream->sendBody = std::move(body);
        stream->closeEvent = std::make_shared<asio::steady_timer>(m_socket.get_executor(), asio::steady_timer::time_point::max());
        const nghttp2_data_provider provider = {{0}, readBody};
        const std::int32_t id = nghttp2_submit_request(m_session, nullptr, headers.data(), headers.size(), &provider, nullptr);
        if (id < 0) {
            close();
            return nullptr;
        }
        m_streams[id] = stream;
        flush();
        return stream;
    }

    // Sends the response on stream `id`. The body is the stream's `sendBody`, which must be set before.
    void submitResponse(std::int32_t id, const std::string &status, const std::string &proof)
    {
        const std::array<nghttp2_nv, 2> headers = {peerHeader(":status", status), peerHeader("x-proof", proof)};
        const nghttp2_data_provider provider = {{0}, readBody};
        nghttp2_submit_response(m_session, id, headers.data(), headers.size(), &provider);
        flush();
    }

    // Closes the socket and all streams, and wakes the callers that wait for them.
    void close()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_open = false;
        for (const auto &[id, stream] : m_streams) {
            stream->closed = true;
            if (stream->closeEvent != nullptr) {
                stream->closeEvent->cancel();
            }
        }
        m_streams.clear();
    }

    // Cancels a call whose response did not arrive in time. If nothing at all was received since the call started, the connection may be
    // broken: it is closed, and the next call opens a new one. Otherwise only this stream is reset.
    void cancelTimedOut(const std::shared_ptr<peer_stream> &timedOut, time_point callStart)
    {
        if (m_lastReceived < callStart) {
            close();
            return;
        }
        for (const auto &[id, stream] : m_streams) {
            if (stream == timedOut) {
                nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, id, NGHTTP2_CANCEL);
                break;
            }
        }
        flush();
    }

    [[nodiscard]] bool isOpen() const { return m_open; }
    [[nodiscard]] asio::any_io_executor executor() { return m_socket.get_executor(); }

private:
    static peer_connection &fromUserData(void *user) { return *static_cast<peer_connection *>(user); }

    peer_stream *stream(std::int32_t id)
    {
        const auto found = m_streams.find(id);
        return found == m_streams.end() ? nullptr : found->second.get();
    }

    static int onBeginHeaders(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        peer_connection &self = fromUserData(user);
        if (self.m_isServer && frame->hd.type == NGHTTP2_HEADERS) {
            self.m_streams[frame->hd.stream_id] = std::make_shared<peer_stream>();
        }
        return 0;
    }

    static int onHeader(nghttp2_session *,
        const nghttp2_frame *frame,
        const std::uint8_t *name,
        std::size_t nameLength,
        const std::uint8_t *value,
        std::size_t valueLength,
        std::uint8_t,
        void *user)
    {
        if (peer_stream *openStream = fromUserData(user).stream(frame->hd.stream_id)) {
            const std::string key(reinterpret_cast<const char *>(name), nameLength);
            openStream->receivedHeaders[key] = std::string(reinterpret_cast<const char *>(value), valueLength);
        }
        return 0;
    }

    static int onData(nghttp2_session *session, std::uint8_t, std::int32_t id, const std::uint8_t *data, std::size_t length, void *user)
    {
        peer_stream *openStream = fromUserData(user).stream(id);
        if (openStream == nullptr || openStream->tooLarge) {
            return 0;
        }
        if (openStream->receivedBody.size() + length > maxPeerBodyBytes) {
            openStream->tooLarge = true;
            nghttp2_submit_rst_stream(session, NGHTTP2_FLAG_NONE, id, NGHTTP2_ENHANCE_YOUR_CALM);
            return 0;
        }
        openStream->receivedBody.append(reinterpret_cast<const char *>(data), length);
        return 0;
    }

    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *user)
    {
        peer_connection &self = fromUserData(user);
        const bool endOfStream = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
        if (self.m_isServer && endOfStream && (frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS)) {
            const auto found = self.m_streams.find(frame->hd.stream_id);
            if (found != self.m_streams.end() && !found->second->tooLarge) {
                self.onRequest(found->first, found->second);
            }
        }
        return 0;
    }

    static int onStreamClose(nghttp2_session *, std::int32_t id, std::uint32_t code, void *user)
    {
        peer_connection &self = fromUserData(user);
        const auto found = self.m_streams.find(id);
        if (found == self.m_streams.end()) {
            return 0;
        }
        if (code != NGHTTP2_NO_ERROR) {
            found->second->receivedHeaders.clear(); // the response is incomplete: without headers the caller doesn't accept it
        }
        found->second->closed = true;
        if (found->second->closeEvent != nullptr) {
            found->second->closeEvent->cancel();
        }
        self.m_streams.erase(found);
        return 0;
    }

    static ssize_t readBody(
        nghttp2_session *, std::int32_t id, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags, nghttp2_data_source *, void *user)
    {
        peer_stream *openStream = fromUserData(user).stream(id);
        if (openStream == nullptr) {
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        }
        const std::size_t byteCount = std::min(length, openStream->sendBody.size() - openStream->sentBytes);
        std::copy_n(openStream->sendBody.data() + openStream->sentBytes, byteCount, buffer);
        openStream->sentBytes += byteCount;
        if (openStream->sentBytes == openStream->sendBody.size()) {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        }
        return static_cast<ssize_t>(byteCount);
    }

    asio::awaitable<void> readLoop()
    {
        const auto self = shared_from_this();
        std::array<std::uint8_t, 16384> buffer{};
        while (m_open) {
            boost::system::error_code code;
            const std::size_t byteCount = co_await m_socket.async_read_some(asio::buffer(buffer), storeErrorIn(code));
            m_counters->bytesReceived += byteCount;
            m_lastReceived = systemNow();
            if (code || nghttp2_session_mem_recv(m_session, buffer.data(), byteCount) < 0) {
                break;
            }
            flush();
        }
        close();
    }

    // Starts the write loop unless it is running. Must be called after every change to the session that may produce frames.
    void flush()
    {
        if (!m_writing && m_open) {
            m_writing = true;
            asio::co_spawn(
                m_socket.get_executor(), [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->writeLoop(); }, logged_end("peer connection"));
        }
    }

    asio::awaitable<void> writeLoop()
    {
        const auto self = shared_from_this();
        while (m_open) {
            const std::uint8_t *data = nullptr;
            const ssize_t length = nghttp2_session_mem_send(m_session, &data);
            if (length <= 0) {
                break;
            }
            const std::string copy(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
            m_counters->bytesSent += copy.size();
            boost::system::error_code code;
            co_await asio::async_write(m_socket, asio::buffer(copy), storeErrorIn(code));
            if (code) {
                close();
            }
        }
        m_writing = false;
    }

    tcp::socket m_socket;
    bool m_isServer;
    std::shared_ptr<peer_counters> m_counters;
    nghttp2_session *m_session = nullptr;
    std::map<std::int32_t, std::shared_ptr<peer_stream>> m_streams;
    time_point m_lastReceived{}; // when the last read from the socket returned
    bool m_writing = false;      // a write loop is running
    bool m_open = true;          // close() was not called yet
};

} // namespace chicoryrouter
