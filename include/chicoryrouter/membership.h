// Which entry instances live: seeded by the platform's instance list, kept by probes and gossip, with incarnation numbers, suspicion
// and refutation. Leaving is a state that a member states of itself, not an absence.
//
// Index
//   facts . options . the membership
//
// Scope: every member probes the others of its own failure domain. Domains are joined through two bridges each, chosen by rendezvous,
// so the work of one member does not grow with the number of domains. What is learned anywhere travels everywhere, piggybacked on probes.
//
// How to use: call onTick() once every gossip interval and carry out the probes it returns; report each by onAnswered() or
// onUnanswered(). Give every message that goes out the news of news(), and every message that comes in to onNews().
// Pure: no clock, no socket, no thread.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/random.h"
#include "chicoryrouter/telling.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryrouter {

// In the order of precedence: of two statements about one incarnation the later in this list wins.
enum class member_state : std::uint8_t {
    Alive,
    Suspect, // did not answer; counted in until it is dead
    Leaving, // says so itself: no new work, still answers
    Dead,
};

struct member_info
{
    std::string instance; // unique name
    std::string failureDomain;
    address peer;                  // where it listens for other daemons
    std::uint64_t incarnation = 0; // only the member itself raises it; starts at its start time, so a restart is newer
    member_state state = member_state::Alive;
};

struct membership_options
{
    duration probeTimeout = std::chrono::seconds(1);     // a direct probe; then others are asked to probe
    duration suspicionTimeout = std::chrono::seconds(3); // time to refute before a member is dead
    duration deadRetention = std::chrono::minutes(10);   // a dead member is remembered, so that old news does not revive it
    std::uint32_t indirectProbes = 2;                    // members asked to probe one that did not answer
    std::uint32_t sendsPerUpdate = 8;                    // each piece of news is sent so many times by each member
};

// One probe to be made. With `through` set, that member is asked to probe the target.
struct probe
{
    std::string target;
    address targetAddress;
    std::string relay; // empty: probe directly
    address relayAddress;
};

class membership
{
public:
    membership(member_info self, membership_options options, std::uint64_t seed);

    std::vector<probe> onTick(time_point now);
    void onAnswered(const std::string &target, time_point now);
    void onUnanswered(const std::string &target, time_point now); // the probe failed or timed out; helpers are asked next
    void onUpdates(const std::vector<member_info> &updates, time_point now);
    std::vector<member_info> nextUpdates(std::size_t maxCount, const std::string &to); // always holds this member itself and what is held of `to`
    void onInstanceList(const std::vector<member_info> &listed, time_point now);       // the platform's list, which may lag
    void leave();                                                                      // from now on this member is Leaving

    [[nodiscard]] const member_info &self() const { return m_self; }
    [[nodiscard]] const member_info *find(const std::string &instance) const;
    [[nodiscard]] std::vector<member_info> allMembers() const;                        // self included, the dead too
    [[nodiscard]] std::vector<member_info> liveMembers() const;                       // self included; Alive, Suspect and Leaving
    [[nodiscard]] std::vector<std::uint64_t> limitSharers(time_point now) const;      // hashes of those among whom limits are divided
    [[nodiscard]] bool isSelectedFor(std::string_view role, std::size_t count) const; // of the own domain's living members, by rendezvous for `role`
    [[nodiscard]] std::vector<member_info> selectMembers(std::string_view role, std::size_t count) const; // of the same, who they are
    [[nodiscard]] std::size_t domainSize() const;                                                         // living members of the own domain, self included
    [[nodiscard]] std::uint64_t changeCount() const { return m_changeCount; }                             // grows with every change of the membership
    [[nodiscard]] std::uint64_t suspicionCount() const { return m_suspicionCount; }                       // members this one suspected itself

private:
    struct known_member
    {
        member_info info;
        time_point suspectUntil = noDeadline;      // when a Suspect becomes Dead
        time_point forgetAt = noDeadline;          // when a Dead one is forgotten
        time_point sharesLimitsUntil = noDeadline; // a Dead one still counts in the division of limits until then, or until it is delisted
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
    void refuteIfSuspected(const member_info &update);
    [[nodiscard]] std::vector<const member_info *> ownDomainMembers() const; // living and not leaving, self included; until the next change
    [[nodiscard]] std::vector<std::string> probeTargets(bool ownDomain) const;
    [[nodiscard]] std::vector<std::string> bridgesOf(const std::string &domain) const;
    [[nodiscard]] bool isLive(const known_member &item) const { return item.info.state != member_state::Dead; }
    void probeNext(bool ownDomain, std::vector<std::string> &queue, time_point now, std::vector<probe> &probes);

    member_info m_self;
    membership_options m_options;
    seeded_random m_random;
    std::map<std::string, known_member> m_members;  // without self
    std::map<std::string, pending_probe> m_pending; // by target
    std::vector<std::string> m_ownDomainQueue;      // own domain's members still to be probed in this round
    std::vector<std::string> m_bridgeQueue;         // other domains' bridges, likewise
    std::uint64_t m_ticks = 0;
    std::uint64_t m_sendCounter = 0; // of telling news
    std::uint64_t m_changeCount = 0;
    std::uint64_t m_suspicionCount = 0;
};

std::string_view toText(member_state state);

} // namespace chicoryrouter
