// Remote calls between daemons: a path and a request body, answered by a response body, over HTTP/2 with one persistent connection per peer.
//
// Each side proves that it has the deployment's peer key: a request carries an HMAC over its path, time and body, a response carries an
// HMAC over the request's HMAC and the response body. A body is checked against maxPeerBodyBytes before it is stored. An unknown path gets an
// empty response with status 404, so that a newer daemon can tell that an older one does not support a call.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace chicoryrouter {

class listening_port;
class worker_pool;

inline constexpr std::size_t maxPeerBodyBytes = 4 * 1024 * 1024; // of a request or response; the receiver resets the stream of a larger one

// Counters for the metrics: the traffic of all peer connections of a daemon and the calls that it received.
struct peer_counters
{
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> refused{0}; // calls answered with 403: the HMAC was wrong, or the time too far from this daemon's clock
};

// Returns the response body of one call, or nullopt for an unknown path. An exception counts as nullopt.
using peer_handler = std::function<boost::asio::awaitable<std::optional<std::string>>(std::string path, std::string body)>;

// Accepts connections from peers and passes their calls to a handler, on the threads of the worker pool.
class peer_server
{
public:
    // Listens at once; throws port_error if it can't.
    peer_server(worker_pool &workers, listening_port port, std::string key, peer_handler handler, std::shared_ptr<peer_counters> counters);
    ~peer_server();
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;

    [[nodiscard]] std::uint16_t port() const; // the bound port
    void close();                             // stops accepting and closes the open connections; both happen asynchronously on their threads

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// Calls peers. Not thread-safe: use it only on the thread of its executor.
class peer_client
{
public:
    peer_client(boost::asio::any_io_executor executor, std::string key, std::shared_ptr<peer_counters> counters);
    ~peer_client();

    // Returns the response body, or nullopt when no response arrived by `deadline`, the connection failed, the peer does not know the path or
    // refused the call, or the HMAC of the response was wrong. Opens a connection unless there is one.
    boost::asio::awaitable<std::optional<std::string>> call(address peer, std::string path, std::string body, time_point deadline);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace chicoryrouter
