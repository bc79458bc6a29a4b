// Membership of the daemons, a SWIM-style protocol: seeded from the platform's instance list and maintained by probes and gossip, with
// incarnation numbers, suspicion and refutation. A member that shuts down announces the state Leaving, it doesn't just disappear.
//
// Index
//   member states and records . options . the membership
//
// Scope: every member probes the others of its own failure domain. Two members of each domain, chosen by rendezvous hashing, are its bridges
// and probe the bridges of the other domains, so the work of most members does not grow with the number of domains. Updates piggyback on
// probes and reach all members.
//
// How to use: call onTick() once every gossip interval, carry out the probes it returns, and report each by onAnswered() or onUnanswered().
// Add nextUpdates() to every outgoing message, and pass the updates of every incoming message to onUpdates().
// No clock, no socket, no thread.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/random.h"
#include "chicoryrouter/send_order.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryrouter {

// In order of precedence: of two updates about the same incarnation, the one whose state is later in this list wins.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, // did not answer; still counts as live until it becomes Dead
    Leaving, // announced by the member itself: takes no new work, still answers
    Dead,
};

struct member_info
{
    std::string instance; // unique name of the member
    std::string failureDomain;
    address peer;                  // where the member listens for other daemons
    std::uint64_t incarnation = 0; // raised only by the member itself; begins at its start time, so that it is higher after a restart
    member_state state = member_state::Alive;
};

struct membership_options
{
    duration probeTimeout = std::chrono::seconds(1);     // for an answer to a probe; when a direct one times out, other members are asked to probe
    duration suspicionTimeout = std::chrono::seconds(3); // time for a Suspect member to refute before it becomes Dead
    duration deadRetention = std::chrono::minutes(10);   // how long a dead member is remembered, so that an old update does not revive it
    std::uint32_t indirectProbes = 2;                    // members asked to probe one that did not answer
    std::uint32_t sendsPerUpdate = 8;                    // how often each member sends each update
};

// A probe to be sent. With `relay` set, that member is asked to probe the target.
struct probe
{
    std::string target;
    address targetAddress;
    std::string relay; // instance name; empty: probe directly
    address relayAddress;
};

class membership
{
public:
    membership(member_info self, membership_options options, std::uint64_t seed);

    std::vector<probe> onTick(time_point now);
    void onAnswered(const std::string &target, time_point now);
    void onUnanswered(const std::string &target, time_point now); // the probe failed or timed out; the next tick asks other members to probe
    void onUpdates(const std::vector<member_info> &updates, time_point now);
    std::vector<member_info> nextUpdates(std::size_t maxCount, const std::string &to); // always includes this member and the known state of `to`
    void onInstanceList(const std::vector<member_info> &listed, time_point now);       // the platform's instance list, which may lag behind
    void leave();                                                                      // sets this member to Leaving

    [[nodiscard]] const member_info &self() const { return m_self; }
    [[nodiscard]] const member_info *find(const std::string &instance) const;
    [[nodiscard]] std::vector<member_info> allMembers() const;                        // including this member and dead ones
    [[nodiscard]] std::vector<member_info> liveMembers() const;                       // Alive, Suspect and Leaving, including this member
    [[nodiscard]] std::vector<std::uint64_t> limitSharers(time_point now) const;      // name hashes of the members among which limits are divided; sorted
    [[nodiscard]] bool isSelectedFor(std::string_view role, std::size_t count) const; // whether selectMembers() would include this member
    [[nodiscard]] std::vector<member_info> selectMembers(std::string_view role, std::size_t count) const; // the top ones of the own domain, by rendezvous
    [[nodiscard]] std::size_t domainSize() const;                                   // members of the own domain that are Alive or Suspect, including this one
    [[nodiscard]] std::uint64_t changeCount() const { return m_changeCount; }       // grows with every change of another member
    [[nodiscard]] std::uint64_t suspicionCount() const { return m_suspicionCount; } // how often this member suspected another after its own probes

private:
    struct known_member
    {
        member_info info;
        time_point suspectUntil = noDeadline;      // when a Suspect member becomes Dead
        time_point forgetAt = noDeadline;          // when a Dead member is removed
        time_point sharesLimitsUntil = noDeadline; // a Dead member that is still listed keeps its share of limits until then
        bool isListed = false;
        transmission_state transmission;
    };

    struct pending_probe
    {
        time_point deadline{};
        bool indirect = false;
    };

    bool adopt(const member_info &update, time_point now);
    void setState(known_member &item, member_state state, time_point now);
    void suspect(const std::string &target, time_point now);
    void expire(time_point now, std::vector<probe> &probes);
    void requestIndirectProbes(const std::string &target, std::vector<probe> &probes);
    void refute(const member_info &update);
    [[nodiscard]] std::vector<const member_info *> ownDomainMembers() const; // Alive or Suspect; pointers are valid until the next change
    [[nodiscard]] std::vector<std::string> probeTargets(bool ownDomain) const;
    [[nodiscard]] std::vector<std::string> bridgesOf(const std::string &domain) const;
    [[nodiscard]] bool isLive(const known_member &item) const { return item.info.state != member_state::Dead; }
    void probeNext(bool ownDomain, std::vector<std::string> &queue, time_point now, std::vector<probe> &probes);

    member_info m_self;
    membership_options m_options;
    seeded_random m_random;
    std::map<std::string, known_member> m_members;  // other members by instance name
    std::map<std::string, pending_probe> m_pending; // by instance name of the target
    std::vector<std::string> m_ownDomainQueue;      // members of the own domain still to be probed in this round
    std::vector<std::string> m_bridgeQueue;         // bridges of other domains still to be probed in this round
    std::uint64_t m_ticks = 0;
    std::uint64_t m_sendCounter = 0; // for leastRecentlySent()
    std::uint64_t m_changeCount = 0;
    std::uint64_t m_suspicionCount = 0;
};

std::string_view toText(member_state state);

} // namespace chicoryrouter
