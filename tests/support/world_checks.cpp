// The world's key-value service, the death of its entry instances, and what must always hold.
#include "support/world_parts.h"

#include <algorithm>

namespace chicoryrouter::test {

// ---- Claims ----------------------------------------------------------------------------------------------------------------------------

store_reply world::storeRead(const std::string &key)
{
    if (store.down) {
        return {};
    }
    const auto found = store.values.find(key);
    return found == store.values.end() ? store_reply{store_outcome::NotFound, 0, {}} : found->second;
}

store_reply world::storeSwap(const std::string &key, std::uint64_t expected, const std::string &value, bool erase)
{
    if (store.down) {
        return {};
    }
    const auto found = store.values.find(key);
    const std::uint64_t version = found == store.values.end() ? 0 : found->second.version;
    if (version != expected) {
        return {store_outcome::Conflict, version, {}};
    }
    if (erase) {
        store.values.erase(key);
    } else {
        store.values[key] = {store_outcome::Ok, ++store.versions, value};
    }
    if (store.loseReplies > 0) {
        --store.loseReplies;
        return {};
    }
    return {store_outcome::Ok, store.versions, {}};
}

void world::claimStep(const std::shared_ptr<live_request> &live, claim_machine::step next)
{
    using step = claim_machine::step;
    if (live->abandoned) {
        return;
    }
    const std::string key = claimKey("demo", live->outside->route, live->outside->key);
    switch (next) {
    case step::Create:
        after(store.delay, [this, live, key] {
            const store_reply reply = storeSwap(key, 0, encodeClaim(live->claim->ownRecord()), false);
            after(store.delay, [this, live, reply] { claimStep(live, live->claim->onCreated(reply, m_now)); });
        });
        break;
    case step::Read:
        after(store.delay, [this, live, key] {
            const store_reply reply = storeRead(key);
            after(store.delay, [this, live, reply] { claimStep(live, live->claim->onRead(reply, m_now)); });
        });
        break;
    case step::Wait:
        at(live->claim->retryAt(), [this, live] { claimStep(live, live->claim->onRetry(m_now)); });
        break;
    case step::Acquired:
        live->claimWon = true;
        say(live->outside->id + " claimed " + live->outside->key);
        perform(live, live->machine->onClaimed(m_now));
        break;
    case step::Replay:
        live->outside->replayed = true;
        live->outside->seen = {0};
        say(live->outside->id + " replays " + live->claim->existingRecord().requestId);
        perform(live, live->machine->onReplayed(m_now));
        break;
    case step::Refused:
        perform(live, live->machine->onClaimRefused(live->claim->refusal(), m_now));
        break;
    }
}

void world::settleClaim(const std::shared_ptr<live_request> &live)
{
    if (!live->claimWon) {
        return;
    }
    const std::string key = claimKey("demo", live->outside->route, live->outside->key);
    const bool unused = !live->outside->answered && !live->machine->mayHaveRun();
    claim_record record = live->claim->ownRecord();
    record.done = true;
    record.status = live->outside->answered ? 200 : 0;
    after(store.delay, [this, key, record, unused] {
        const store_reply held = storeRead(key);
        const auto found = held.outcome == store_outcome::Ok ? decodeClaim(held.value) : std::nullopt;
        if (found && found->nonce == record.nonce && !found->done) {
            storeSwap(key, held.version, encodeClaim(record), unused);
        }
    });
}

// ---- Nodes -----------------------------------------------------------------------------------------------------------------------------

void world::killNode(std::size_t index)
{
    node &dying = *m_nodes[index];
    if (dying.dead) {
        return;
    }
    dying.dead = true;
    say(dying.name + " died");
    for (const auto &live : m_live) {
        if (live->node != index || live->abandoned) {
            continue;
        }
        for (const auto &[attempt, where] : std::map<std::uint32_t, std::string>(live->open)) {
            endAttempt(live, attempt);
        }
        live->abandoned = true;
    }
    after(deathNoticedAfter, [this, index] { takeOver(index); });
}

void world::takeOver(std::size_t deadNode)
{
    std::vector<std::uint64_t> members;
    for (const auto &item : m_nodes) {
        if (!item->dead) {
            members.push_back(hashBytes(item->name));
        }
    }
    std::size_t heir = m_nodes.size();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!m_nodes[i]->dead) {
            m_nodes[i]->endpoints.setMembers(members);
            heir = std::min(heir, i);
        }
    }
    if (heir == m_nodes.size()) {
        return;
    }
    for (const auto &live : std::vector<std::shared_ptr<live_request>>(m_live)) {
        const bool held = live->node == deadNode && live->machine->facts().needsCopy && !live->machine->isOver() && live->outside->accepted;
        if (!held) {
            continue;
        }
        const auto heirs = std::make_shared<live_request>();
        heirs->outside = live->outside;
        heirs->node = heir;
        heirs->service = live->service;
        heirs->copied = live->copied;
        request_facts facts = live->machine->facts();
        facts.alreadyDelivered = live->copied;
        facts.wasAccepted = true;
        facts.waitUntil = facts.deadline;
        heirs->machine = std::make_unique<request_machine>(facts, m_nodes[heir]->budgets[live->service]);
        // The caller re-attaches with the number of the last token it has, and is given what the copy holds beyond it.
        for (auto index = static_cast<std::uint32_t>(live->outside->seen.size()); index < live->copied; ++index) {
            live->outside->seen.push_back(index);
        }
        say(live->outside->id + " taken over by " + m_nodes[heir]->name + " from token " + std::to_string(live->copied));
        startRequest(heirs);
    }
}

// ---- What must always hold -------------------------------------------------------------------------------------------------------------

std::vector<std::string> world::faults() const
{
    std::vector<std::string> broken = m_broken;
    std::set<const world_request *> orphaned; // their entry instance died with no copy made
    for (const auto &live : m_live) {
        const bool copied = live->machine->facts().needsCopy && live->outside->accepted;
        if (live->abandoned && !live->machine->isOver() && !copied) {
            orphaned.insert(live->outside);
        }
    }
    for (const auto &[id, item] : m_requests) {
        const contract *promised = nullptr;
        for (const contract &route : m_document->content.routes) {
            promised = route.route == item.route ? &route : promised;
        }
        if (item.ends == 0 && orphaned.count(&item) == 0) {
            broken.push_back(id + " never ended");
        }
        if (item.ends > 1) {
            broken.push_back(id + " ended more than once");
        }
        if (!promised->repeatable && item.runs > 1) {
            broken.push_back(id + " may run once and ran " + std::to_string(item.runs) + " times");
        }
        for (std::size_t i = 0; i < item.seen.size(); ++i) {
            if (item.seen[i] != i) {
                broken.push_back(id + " got token " + std::to_string(item.seen[i]) + " in place " + std::to_string(i));
                break;
            }
        }
        if (item.answered && !item.callerGone && item.seen.size() != item.tokens) {
            broken.push_back(id + " was answered with " + std::to_string(item.seen.size()) + " of " + std::to_string(item.tokens) + " tokens");
        }
        const bool saysNotRun = item.failure != error_kind::Count && responseFor(item.failure).ran == ran_state::No;
        if (saysNotRun && item.runs > 0) {
            broken.push_back(id + " ran and was refused with ran: no");
        }
    }
    for (const auto &[key, runs] : m_runsByKey) {
        if (runs > 1) {
            broken.push_back("key " + key + " ran " + std::to_string(runs) + " times");
        }
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->dead) {
            continue;
        }
        for (const endpoint_status &status : m_nodes[i]->endpoints.status()) {
            if (status.info->load->inFlight != 0) {
                broken.push_back(m_nodes[i]->name + " kept a slot at " + status.info->id);
            }
        }
    }
    return broken;
}

} // namespace chicoryrouter::test
