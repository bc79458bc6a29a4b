// One endpoint: a running copy of one version of a service on one instance, and the few counters that request threads share about it.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicoryrouter {

// Where a process listens. IP numbers only; names are never looked up.
struct address
{
    std::string ip; // IPv4 or IPv6 number
    std::uint16_t port = 0;

    bool operator==(const address &) const = default;
};

// Whether an endpoint may take new work, and if not, why. Shown by `chicoryctl status`.
enum class endpoint_use : std::uint8_t {
    Usable,
    Leaving,        // its instance is on notice or stopping: open work only
    DomainOut,      // its failure domain was taken out by operators
    SetAside,       // it failed; probed now and then
    UnknownVersion, // the document does not list its version
};

// Counters of one endpoint as this daemon sees it. Written by request threads and the control strand, so every field is atomic.
// Invariant: inFlight <= slots at the moment a slot is taken. `slots` may fall below `inFlight` later; then nothing new starts.
struct endpoint_load
{
    std::atomic<std::uint32_t> inFlight{0};         // requests this daemon has open there
    std::atomic<std::uint32_t> awaitingAnswer{0};   // of those: sent, and not answered at all yet
    std::atomic<std::uint32_t> slots{0};            // this daemon's share of what the endpoint bears
    std::atomic<std::uint32_t> firstTokenMicros{0}; // moving average of observed times to the first token, in microseconds; 0: not measured
    std::atomic<std::uint32_t> reportedPermille{0}; // moving average of reported load over what it runs at once, over all daemons; 0: not measured

    std::atomic<bool> paced{false};           // cold: new work only against `paceTokens`
    std::atomic<std::uint32_t> paceTokens{0}; // requests this daemon may start there while it is cold; refilled by the control strand

    std::atomic<bool> leaving{false}; // on notice: whoever holds a slot and has not sent yet goes elsewhere

    bool tryAcquire(); // takes one slot; false when all are taken, or when it is cold and has its share of new work
    void release();    // returns one slot; asserts that one was taken
};

// An endpoint as the routing table lists it. Immutable but for `load`, which successive tables share.
struct endpoint
{
    std::string id;        // unique over the deployment; names the instance too
    std::uint64_t key = 0; // hash of `id`, for rendezvous
    std::string service;
    std::string version;
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    address listenAddress;
    endpoint_use use = endpoint_use::Usable;
    duration linkDelay{};                // one way from this daemon
    std::shared_ptr<endpoint_load> load; // never null
};

using endpoint_ptr = std::shared_ptr<const endpoint>;

// Endpoints in a row, with their keys beside them: ranking by key reads one line of memory, not one object per endpoint.
class endpoint_list
{
public:
    void append(endpoint_ptr item)
    {
        m_keys.push_back(item->key);
        m_items.push_back(std::move(item));
    }

    [[nodiscard]] std::size_t size() const { return m_items.size(); }
    [[nodiscard]] bool empty() const { return m_items.empty(); }
    const endpoint_ptr &operator[](std::size_t index) const { return m_items[index]; }
    [[nodiscard]] std::uint64_t key(std::size_t index) const { return m_keys[index]; }
    [[nodiscard]] auto begin() const { return m_items.begin(); }
    [[nodiscard]] auto end() const { return m_items.end(); }

private:
    std::vector<endpoint_ptr> m_items;
    std::vector<std::uint64_t> m_keys; // m_keys[i] == m_items[i]->key
};

std::string_view toText(endpoint_use use);

} // namespace chicoryrouter
