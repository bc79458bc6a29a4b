// The key-value service as the shells call it. One call each; whoever calls decides about repeats, since only it knows what a lost
// reply means.
#pragma once

#include "chicoryrouter/claim.h"
#include "shell/http.h"

#include <atomic>

namespace chicoryrouter {

// Calls counted by kind, because the service is paid and limited by call. Shared by all clients of a daemon.
struct store_counters
{
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> failures{0}; // of all of them: no answer, or none that can be read
};

class store_client
{
public:
    store_client(boost::asio::any_io_executor executor, address serviceAddress, std::shared_ptr<store_counters> counters);

    boost::asio::awaitable<store_reply> get(std::string key, time_point deadline);
    // Sets the value if its version is `expected` (0: there is none). `keptFor` zero: for good.
    boost::asio::awaitable<store_reply> compareAndSwap(std::string key, std::uint64_t expectedVersion, std::string value, duration timeToLive, time_point deadline);
    boost::asio::awaitable<store_reply> remove(std::string key, std::uint64_t expectedVersion, time_point deadline);
    // Waits until the version is above `after`, or `deadline`; Unavailable when nothing changed by then too.
    boost::asio::awaitable<store_reply> watch(std::string key, std::uint64_t afterVersion, time_point deadline);

private:
    boost::asio::awaitable<store_reply> call(http_call request, time_point deadline);

    http_client m_client;
    address m_serviceAddress;
    std::shared_ptr<store_counters> m_counters;
};

} // namespace chicoryrouter
