// The link between daemons: calls with a body and an answer over nghttp2 streams, one kept connection per peer.
//
// Each side proves that it holds the deployment's peer key: a request carries an HMAC over its path, time and body, an answer one over
// the request's HMAC and the answer's body. Bodies are bounded before they are stored. Unknown paths get an empty answer of their own,
// so a newer daemon can tell that an older one does not know a call.
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

class worker_pool;

inline constexpr std::size_t maxPeerBodyBytes = 4 * 1024 * 1024;

// Bytes and calls of a daemon's links, for the metrics.
struct peer_counters
{
    std::atomic<std::uint64_t> bytesSent{0};
    std::atomic<std::uint64_t> bytesReceived{0};
    std::atomic<std::uint64_t> calls{0};
    std::atomic<std::uint64_t> refused{0}; // calls whose proof was wrong
};

// Answers one call; nothing means that the path is not known.
using peer_handler = std::function<boost::asio::awaitable<std::optional<std::string>>(std::string path, std::string body)>;

class peer_server
{
public:
    peer_server(worker_pool &workers, const address &listenAddress, std::string key, peer_handler handler, std::shared_ptr<peer_counters> counters);
    ~peer_server();
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;

    [[nodiscard]] std::uint16_t port() const;
    void close(); // accepts no more and closes what is open

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// Calls to peers. Belongs to one thread.
class peer_client
{
public:
    peer_client(boost::asio::any_io_executor executor, std::string key, std::shared_ptr<peer_counters> counters);
    ~peer_client();

    // The answer's body; nothing when there was none by `deadline`, when the peer does not know the path, or when its proof was wrong.
    boost::asio::awaitable<std::optional<std::string>> call(address peer, std::string path, std::string body, time_point deadline);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace chicoryrouter
