// Probes, suspicion, and the merging and selection of updates.
#include "chicoryrouter/membership.h"

#include "chicoryrouter/hash.h"

#include <algorithm>
#include <array>
#include <set>

namespace chicoryrouter {

namespace {

constexpr std::size_t bridgesPerDomain = 2;
constexpr std::uint64_t ticksPerDeadProbe = 10; // probing one dead member now and then rejoins the sides of a healed network partition
constexpr duration limitShareAfterDeath = std::chrono::seconds(60);

bool supersedes(const member_info &update, const member_info &known)
{
    return update.incarnation != known.incarnation ? update.incarnation > known.incarnation : update.state > known.state;
}

} // namespace

membership::membership(member_info self, membership_options options, std::uint64_t seed)
    : m_self(std::move(self))
    , m_options(options)
    , m_random(seed)
{
}

// ---- Probing ---------------------------------------------------------------------------------------------------------------------------

std::vector<probe> membership::onTick(time_point now)
{
    ++m_ticks;
    std::vector<probe> probes;
    expire(now, probes);
    probeNext(true, m_ownDomainQueue, now, probes);
    const std::vector<std::string> ownBridges = bridgesOf(m_self.failureDomain);
    if (std::find(ownBridges.begin(), ownBridges.end(), m_self.instance) != ownBridges.end()) {
        probeNext(false, m_bridgeQueue, now, probes);
    }
    if (m_ticks % ticksPerDeadProbe == 0) {
        std::vector<const known_member *> dead;
        for (const auto &[name, item] : m_members) {
            if (!isLive(item)) {
                dead.push_back(&item);
            }
        }
        if (!dead.empty()) {
            const member_info &info = dead[uniformBelow(m_random, dead.size())]->info;
            probes.push_back({info.instance, info.peer, {}, {}});
        }
    }
    return probes;
}

std::vector<std::string> membership::probeTargets(bool ownDomain) const
{
    std::vector<std::string> targets;
    if (ownDomain) {
        for (const auto &[name, item] : m_members) {
            if (item.info.failureDomain == m_self.failureDomain && isLive(item)) {
                targets.push_back(name);
            }
        }
        return targets;
    }
    std::set<std::string> domains;
    for (const auto &[name, item] : m_members) {
        domains.insert(item.info.failureDomain);
    }
    domains.erase(m_self.failureDomain);
    for (const std::string &domain : domains) {
        for (const std::string &name : bridgesOf(domain)) {
            targets.push_back(name);
        }
    }
    return targets;
}

void membership::probeNext(bool ownDomain, std::vector<std::string> &queue, time_point now, std::vector<probe> &probes)
{
    if (queue.empty()) {
        queue = probeTargets(ownDomain);
        for (std::size_t i = queue.size(); i > 1; --i) {
            std::swap(queue[i - 1], queue[uniformBelow(m_random, i)]);
        }
    }
    while (!queue.empty()) {
        const std::string target = queue.back();
        queue.pop_back();
        const auto found = m_members.find(target);
        if (found == m_members.end() || !isLive(found->second) || m_pending.count(target) != 0) {
            continue;
        }
        m_pending[target] = {now + m_options.probeTimeout, false};
        probes.push_back({target, found->second.info.peer, {}, {}});
        return;
    }
}

void membership::expire(time_point now, std::vector<probe> &probes)
{
    for (auto item = m_pending.begin(); item != m_pending.end();) {
        if (item->second.deadline > now) {
            ++item;
            continue;
        }
        if (item->second.indirect) {
            suspect(item->first, now);
            item = m_pending.erase(item);
            continue;
        }
        item->second = {now + m_options.probeTimeout, true};
        requestIndirectProbes(item->first, probes);
        ++item;
    }
    for (auto item = m_members.begin(); item != m_members.end();) {
        known_member &known = item->second;
        if (known.info.state == member_state::Suspect && known.suspectUntil <= now) {
            setState(known, member_state::Dead, now);
        }
        item = known.forgetAt <= now ? m_members.erase(item) : std::next(item);
    }
}

void membership::requestIndirectProbes(const std::string &target, std::vector<probe> &probes)
{
    const auto suspected = m_members.find(target);
    if (suspected == m_members.end()) {
        return;
    }
    std::vector<const member_info *> helpers;
    for (const auto &[name, item] : m_members) {
        if (name != target && item.info.state == member_state::Alive && m_pending.count(name) == 0) {
            helpers.push_back(&item.info);
        }
    }
    for (std::uint32_t i = 0; i < m_options.indirectProbes && !helpers.empty(); ++i) {
        const std::size_t chosen = uniformBelow(m_random, helpers.size());
        probes.push_back({target, suspected->second.info.peer, helpers[chosen]->instance, helpers[chosen]->peer});
        helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

void membership::onAnswered(const std::string &target, time_point)
{
    m_pending.erase(target);
}

void membership::onUnanswered(const std::string &target, time_point now)
{
    const auto found = m_pending.find(target);
    if (found != m_pending.end() && !found->second.indirect) {
        found->second.deadline = now; // the next tick requests indirect probes
    }
}

void membership::suspect(const std::string &target, time_point now)
{
    const auto found = m_members.find(target);
    if (found != m_members.end() && found->second.info.state < member_state::Suspect) {
        ++m_suspicionCount;
        setState(found->second, member_state::Suspect, now);
    } else if (found != m_members.end() && found->second.info.state == member_state::Leaving) {
        setState(found->second, member_state::Dead, now); // it announced its shutdown, so it is not suspected first
    }
}

// ---- Updates ---------------------------------------------------------------------------------------------------------------------------

void membership::setState(known_member &item, member_state state, time_point now)
{
    item.info.state = state;
    item.transmission.sendCount = 0;
    item.suspectUntil = state == member_state::Suspect ? now + m_options.suspicionTimeout : noDeadline;
    item.forgetAt = state == member_state::Dead ? now + m_options.deadRetention : noDeadline;
    item.sharesLimitsUntil = state == member_state::Dead ? now + limitShareAfterDeath : noDeadline;
    ++m_changeCount;
}

// What the others know of a former process is out of date too, also if that one had the higher incarnation because the clock has been set back since.
// A process that leaves doesn't argue about that: the next one of its name may have started.
void membership::refute(const member_info &update)
{
    const bool suspected = update.state == member_state::Suspect || update.state == member_state::Dead;
    const bool ofFormerProcess = m_self.state == member_state::Alive && update.incarnation > m_self.incarnation;
    if (ofFormerProcess || (suspected && update.incarnation >= m_self.incarnation)) {
        m_self.incarnation = update.incarnation + 1;
    }
}

bool membership::adopt(const member_info &update, time_point now)
{
    const auto [place, inserted] = m_members.try_emplace(update.instance);
    known_member &known = place->second;
    if (!inserted && !supersedes(update, known.info)) {
        return false;
    }
    if (inserted && update.state == member_state::Dead) {
        m_members.erase(place); // storing a dead member that was unknown here would let the update circulate forever
        return false;
    }
    known.info = update;
    setState(known, update.state, now);
    return true;
}

void membership::onUpdates(const std::vector<member_info> &updates, time_point now)
{
    for (const member_info &update : updates) {
        if (update.instance == m_self.instance) {
            refute(update);
        } else {
            adopt(update, now);
        }
    }
}

std::vector<member_info> membership::nextUpdates(std::size_t maxCount, const std::string &to)
{
    std::vector<member_info> result{m_self};
    const auto receiver = m_members.find(to);
    if (receiver != m_members.end()) {
        result.push_back(receiver->second.info); // so that the receiver can refute it
    }
    std::vector<known_member *> items;
    for (auto &[name, item] : m_members) {
        if (name != to) {
            items.push_back(&item);
        }
    }
    const auto transmissionOf = [](known_member &item) -> transmission_state & {
        return item.transmission;
    };
    const std::size_t remaining = maxCount - std::min(maxCount, result.size());
    for (const known_member *item : leastRecentlySent(std::move(items), remaining, m_options.sendsPerUpdate, m_sendCounter, transmissionOf)) {
        result.push_back(item->info);
    }
    return result;
}

void membership::onInstanceList(const std::vector<member_info> &listed, time_point now)
{
    for (auto &[name, item] : m_members) {
        item.isListed = false;
    }
    for (const member_info &entry : listed) {
        if (entry.instance == m_self.instance) {
            continue;
        }
        const auto [place, inserted] = m_members.try_emplace(entry.instance);
        if (inserted) {
            place->second.info = entry;
            place->second.info.incarnation = 0; // any update that the member sends about itself is newer
            setState(place->second, member_state::Alive, now);
        }
        place->second.isListed = true;
    }
}

void membership::leave()
{
    ++m_self.incarnation;
    m_self.state = member_state::Leaving;
}

// ---- Views -----------------------------------------------------------------------------------------------------------------------------

const member_info *membership::find(const std::string &instance) const
{
    if (instance == m_self.instance) {
        return &m_self;
    }
    const auto found = m_members.find(instance);
    return found == m_members.end() ? nullptr : &found->second.info;
}

std::vector<member_info> membership::allMembers() const
{
    std::vector<member_info> result{m_self};
    for (const auto &[name, item] : m_members) {
        result.push_back(item.info);
    }
    return result;
}

std::vector<member_info> membership::liveMembers() const
{
    std::vector<member_info> result = allMembers();
    std::erase_if(result, [](const member_info &item) { return item.state == member_state::Dead; });
    return result;
}

std::vector<std::uint64_t> membership::limitSharers(time_point now) const
{
    std::vector<std::uint64_t> result{hashBytes(m_self.instance)};
    for (const auto &[name, item] : m_members) {
        // A member that is Dead here but still listed may only be partitioned from this one and still send requests, so its share stays reserved
        // for a while.
        const bool maybePartitioned = item.isListed && item.sharesLimitsUntil > now;
        if (isLive(item) || maybePartitioned) {
            result.push_back(hashBytes(name));
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<std::string> membership::bridgesOf(const std::string &domain) const
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    const std::uint64_t key = hashBytes(domain);
    if (domain == m_self.failureDomain) {
        ranked.emplace_back(rendezvousWeight(key, hashBytes(m_self.instance)), m_self.instance);
    }
    for (const auto &[name, item] : m_members) {
        if (item.info.failureDomain == domain && isLive(item)) {
            ranked.emplace_back(rendezvousWeight(key, hashBytes(name)), name);
        }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    ranked.resize(std::min(ranked.size(), bridgesPerDomain));
    std::vector<std::string> names;
    for (auto &[weight, name] : ranked) {
        names.push_back(std::move(name));
    }
    return names;
}

std::vector<const member_info *> membership::ownDomainMembers() const
{
    std::vector<const member_info *> result{&m_self};
    for (const auto &[name, item] : m_members) {
        if (item.info.failureDomain == m_self.failureDomain && item.info.state < member_state::Leaving) {
            result.push_back(&item.info);
        }
    }
    return result;
}

std::size_t membership::domainSize() const
{
    return ownDomainMembers().size();
}

std::vector<member_info> membership::selectMembers(std::string_view role, std::size_t count) const
{
    const std::uint64_t key = hashBytes(role);
    std::vector<std::pair<std::uint64_t, const member_info *>> ranked;
    for (const member_info *item : ownDomainMembers()) {
        ranked.emplace_back(rendezvousWeight(key, hashBytes(item->instance)), item);
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<member_info> selected;
    for (std::size_t i = 0; i < std::min(ranked.size(), count); ++i) {
        selected.push_back(*ranked[i].second);
    }
    return selected;
}

bool membership::isSelectedFor(std::string_view role, std::size_t count) const
{
    const std::uint64_t key = hashBytes(role);
    const std::uint64_t own = rendezvousWeight(key, hashBytes(m_self.instance));
    const std::vector<const member_info *> candidates = ownDomainMembers();
    const auto ahead
        = std::count_if(candidates.begin(), candidates.end(), [&](const member_info *item) { return rendezvousWeight(key, hashBytes(item->instance)) > own; });
    return static_cast<std::size_t>(ahead) < count;
}

std::string_view toText(member_state state)
{
    constexpr std::array<std::string_view, 4> names = {"alive", "suspect", "leaving", "dead"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace chicoryrouter
