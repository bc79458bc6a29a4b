// One endpoint: a running copy of one version of a service on one instance, and the counters that request threads share about it.
#pragma once

#include "chicoryrouter/document.h"
#include "chicoryrouter/time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicoryrouter {

// Address where a process listens. IP addresses only; host names are never resolved.
struct address
{
    std::string ip; // IPv4 or IPv6 address
    std::uint16_t port = 0;

    bool operator==(const address &) const = default;
};

// Whether an endpoint may take new requests, and if not, why. Shown by `chicoryctl status`.
enum class endpoint_use : std::uint8_t {
    Usable,
    Leaving,        // its instance will be reclaimed or is stopping: it only finishes open requests
    DomainOut,      // operators took its failure domain out of use
    SetAside,       // ejected by outlier detection or unreachable; probed with increasing delays
    UnknownVersion, // the document does not list its version or its failure domain, or a version move rolled the version back
};

// The longest rest that an endpoint can ask for at once: a wrong value must not put it out of use for good.
inline constexpr duration maxEndpointRest = std::chrono::seconds(60);

// The load that an endpoint states of itself in an answer.
struct stated_load
{
    std::uint32_t running = 0;     // requests that it works on
    std::uint32_t waiting = 0;     // requests in its queue
    std::uint32_t pacePercent = 0; // time that work takes there at the moment, in percent of the usual time; 0: not stated
};

// Counters of one endpoint, as this daemon sees it. Written by request threads and the control strand, so every field is atomic.
// Invariant: inFlight <= slots at the moment a slot is acquired. `slots` may drop below `inFlight` later; then no new request starts.
struct endpoint_load
{
    std::atomic<std::uint32_t> inFlight{0};         // requests this daemon has open there
    std::atomic<std::uint32_t> awaitingAnswer{0};   // of those: sent, and no part of the answer received yet
    std::atomic<std::uint32_t> slots{0};            // this daemon's share of the endpoint's concurrent requests
    std::atomic<std::uint32_t> firstTokenMicros{0}; // moving average of the time to the first token, in microseconds; 0: not measured
    std::atomic<std::uint32_t> reportedPermille{0}; // moving average of the total load it reports, in thousandths of its limit; 0: not measured

    // ---- Only while load control is on (load_control.h)
    std::atomic<std::uint32_t> ownPromptTokens{0};    // prompt tokens of this daemon's requests there that have no part of an answer yet
    std::atomic<std::uint32_t> remotePromptTokens{0}; // the same of the other daemons, as far as they have told
    std::atomic<std::uint32_t> pacePercent{0};        // as the endpoint stated it last, or another daemon told; 0: not stated
    std::atomic<time_point> paceHeardAt{};            // when it stated that; the epoch: never
    std::atomic<std::uint32_t> promptTokensPerMs{0};  // prompt tokens that it reads in a millisecond, learned from its answers, in thousandths; 0: not known
    std::atomic<std::uint32_t> baseMicros{0};         // time to the first token of a short prompt while nothing is ahead of it, in microseconds; 0: not known

    std::atomic<bool> paced{false};           // the endpoint is cold: each new request needs one of `paceTokens`
    std::atomic<std::uint32_t> paceTokens{0}; // requests this daemon may start now while the endpoint is cold; refilled by the control strand

    std::atomic<bool> leaving{false}; // the endpoint will stop. Never reset

    std::atomic<time_point> restUntil{}; // the endpoint asked this daemon for no new requests until then; only raised
    std::atomic<bool> resting{false};    // that time has not come yet, as of the last updateRest()

    [[nodiscard]] bool acceptsNew() const; // false: it leaves or rests, so requests that hold a slot but were not sent yet go elsewhere
    void rest(time_point until);           // any thread; an earlier time than a known one has no effect
    void updateRest(time_point now);       // control strand; ends a rest whose time has come

    bool tryAcquire(); // acquires one slot; false if none is free, if the endpoint doesn't accept new requests, or if it is cold and no pace token is left
    void release();    // returns one slot; asserts that one was acquired
};

// An endpoint as listed in the routing table. Immutable except for the counters in `load`, which successive tables share.
struct endpoint
{
    std::string id;        // unique in the deployment; also identifies the instance
    std::uint64_t key = 0; // hash of `id`, for rendezvous hashing
    std::string service;
    std::string version;
    std::string failureDomain;
    instance_class cls = instance_class::Reclaimable;
    address listenAddress;
    endpoint_use use = endpoint_use::Usable;
    duration linkDelay{};                // one-way network delay from this daemon
    std::shared_ptr<endpoint_load> load; // never null
};

using endpoint_ptr = std::shared_ptr<const endpoint>;

// A list of endpoints with their keys in a separate array: ranking by key reads contiguous memory instead of one object per endpoint.
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
