// Several daemons' agreements under virtual time, joined by a network that loses, doubles, delays and cuts the real encoded messages.
#pragma once

#include "chicoryrouter/cluster_state.h"

#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace chicoryrouter::trials {

struct cluster_options
{
    std::vector<std::string> domains; // failure domain of each daemon, in order
    std::string document;             // YAML in force at the start; may be empty
    duration gossipInterval = std::chrono::milliseconds(500);
    duration noteInterval{}; // of evidence that each daemon tells all others directly; zero span: by gossip only
    duration linkDelay = std::chrono::milliseconds(1);
    double loss = 0.0;                            // of each message, one way
    double doubled = 0.0;                         // of each message
    duration late = std::chrono::milliseconds(0); // each message is late by up to so much, and so overtakes others
    std::uint64_t seed = 1;
};

struct cluster_counters
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t storeReads = 0; // a waiting watch is one
    std::uint64_t storeWrites = 0;
};

class cluster
{
public:
    explicit cluster(cluster_options options);

    [[nodiscard]] std::size_t size() const { return m_nodes.size(); }
    cluster_state &at(std::size_t index) { return *m_nodes.at(index).core; }
    [[nodiscard]] std::string nameOf(std::size_t index) const { return "entry-" + std::to_string(index + 1); }
    [[nodiscard]] time_point now() const { return m_now; }
    void runFor(duration span);
    void at(time_point moment, std::function<void()> what);

    // ---- Disturbing it
    void setLoss(double loss) { m_options.loss = loss; }
    void cut(std::size_t from, std::size_t to, bool isCut = true);                // one way
    void cutDomain(const std::string &domain, bool fromStore, bool isCut = true); // from all other domains, both ways
    void kill(std::size_t index);
    void pauseNode(std::size_t index, duration span);
    std::size_t restart(std::size_t index); // a new daemon at the same address, with a new name
    bool storeDown = false;

    // ---- The key-value service
    void putDocument(std::uint64_t revision, std::string yaml);
    std::string verdictOf(std::uint64_t move) const;

    // ---- Looking at it
    [[nodiscard]] bool isLiving(std::size_t index) const { return m_nodes.at(index).living; }
    [[nodiscard]] std::size_t withRevision(std::uint64_t revision) const; // living daemons that hold at least this revision
    [[nodiscard]] bool everReverted() const { return m_reverted; }
    [[nodiscard]] std::size_t seenAs(const std::string &member, member_state state) const; // living daemons that hold it to be so
    [[nodiscard]] const cluster_counters &counters() const { return m_counters; }
    std::function<move_context(std::size_t, const version_move &)> surroundings; // for version moves; may stay empty

private:
    struct node
    {
        std::unique_ptr<cluster_state> core;
        std::string domain;
        bool living = true;
        time_point pausedUntil{};
        std::uint64_t revisionSeen = 0;
        bool cutFromStore = false;
        std::uint64_t storeVersion = 0;
    };

    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> what;
        bool operator<(const event &other) const { return when != other.when ? when > other.when : order > other.order; }
    };

    void tick(std::size_t index);
    void tellEvidence(std::size_t index);
    void watch(std::size_t index);
    void settleMoves(std::size_t index);
    void runProbe(std::size_t from, const probe &what);
    void deliver(std::size_t from, std::size_t to, std::size_t bytes, const std::function<void()> &arrive);
    void exchange(std::size_t from, std::size_t to, const std::string &target, const std::function<void()> &answered);
    void onReceived(std::size_t index, std::size_t from, const gossip_result &result);
    void check(std::size_t index);
    std::size_t indexAt(const address &where) const;
    void addNode(const std::string &name, const std::string &domain, std::uint16_t port);
    void list();

    cluster_options m_options;
    seeded_random m_random;
    time_point m_now{std::chrono::hours(24 * 365 * 50)};
    std::uint64_t m_order = 0;
    std::priority_queue<event> m_events;
    std::vector<node> m_nodes;
    std::set<std::pair<std::size_t, std::size_t>> m_cut;
    document_envelope m_stored;
    std::uint64_t m_storeVersion = 0;
    std::map<std::uint64_t, std::string> m_verdicts;
    cluster_counters m_counters;
    bool m_reverted = false;
};

// Daemons spread evenly over domains "d0", "d1", ...
std::vector<std::string> spreadOver(std::size_t daemons, std::size_t domains);

} // namespace chicoryrouter::trials
