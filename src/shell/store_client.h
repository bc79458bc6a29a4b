// Client of the key-value service. Each function makes one call without retries: only the caller knows whether a call whose reply was lost
// can be repeated.
#pragma once

#include "chicoryrouter/claim.h"
#include "shell/http.h"

#include <atomic>

namespace chicoryrouter {

// Counts calls by kind, because the service charges and limits by call. Shared by all clients of a daemon.
struct store_counters
{
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> failures{0}; // calls of any kind without an answer, or with one that cannot be read
};

class store_client
{
public:
    store_client(boost::asio::any_io_executor executor, address serviceAddress, std::shared_ptr<store_counters> counters);

    boost::asio::awaitable<store_reply> get(std::string key, time_point deadline);
    // Sets the value if the key's version is `expectedVersion` (0: the key does not exist). It expires after `timeToLive`, rounded up to whole
    // seconds; zero: never.
    boost::asio::awaitable<store_reply> compareAndSwap(
        std::string key, std::uint64_t expectedVersion, std::string value, duration timeToLive, time_point deadline);
    boost::asio::awaitable<store_reply> remove(std::string key, std::uint64_t expectedVersion, time_point deadline);
    // Waits until the key's version is above `afterVersion`. Returns Unavailable when the deadline passes without a change, as on failure.
    boost::asio::awaitable<store_reply> watch(std::string key, std::uint64_t afterVersion, time_point deadline);

private:
    boost::asio::awaitable<store_reply> call(http_call request, time_point deadline);

    http_client m_client;
    address m_serviceAddress;
    std::shared_ptr<store_counters> m_counters;
};

} // namespace chicoryrouter
