// The agreement without a coordinator: membership, configuration and version moves over a network that loses, doubles, delays and cuts.
#include "chicoryrouter/cluster_state.h"
#include "support/world.h"
#include "trials/cluster.h"
#include "trials/move_trial.h"

#include <criterion/criterion.h>

using namespace chicoryrouter;
using namespace chicoryrouter::trials;
using namespace std::chrono_literals;

namespace {

cluster_options nineDaemons(std::uint64_t seed, double loss = 0.0)
{
    cluster_options options;
    options.domains = spreadOver(9, 3);
    options.document = test::worldDocument();
    options.loss = loss;
    options.seed = seed;
    return options;
}

move_trial_options moveOf(badness kind, std::uint64_t seed)
{
    move_trial_options options;
    options.sizes = aspenCoulee();
    options.kind = kind;
    options.seed = seed;
    return options;
}

} // namespace

// ---- Membership ------------------------------------------------------------------------------------------------------------------------

Test(agreement, a_death_is_noticed_by_everybody)
{
    cluster all(nineDaemons(1));
    all.runFor(10s);
    all.kill(4);
    all.runFor(15s);
    cr_assert_eq(all.seenAs(all.nameOf(4), member_state::Dead), 8);
}

Test(agreement, nobody_is_buried_alive_at_5_percent_loss)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        cluster all(nineDaemons(seed, 0.05));
        for (int second = 0; second < 120; ++second) {
            all.runFor(1s);
            for (std::size_t i = 0; i < 9; ++i) {
                cr_assert_eq(all.seenAs(all.nameOf(i), member_state::Dead), 0, "seed %lu: %s", static_cast<unsigned long>(seed), all.nameOf(i).c_str());
            }
        }
    }
}

Test(agreement, a_member_that_cannot_be_heard_by_one_other_is_vouched_for_by_the_rest)
{
    cluster all(nineDaemons(1));
    all.runFor(5s);
    all.cut(0, 3); // both in d0: what 0 sends does not reach 3
    all.runFor(60s);
    cr_assert_eq(all.seenAs(all.nameOf(3), member_state::Dead), 0);
    cr_assert_eq(all.seenAs(all.nameOf(0), member_state::Dead), 0);
}

Test(agreement, a_domain_that_was_cut_off_comes_back_whole)
{
    cluster all(nineDaemons(1));
    all.runFor(10s);
    all.cutDomain("d1", true);
    all.runFor(120s);
    all.cutDomain("d1", true, false);
    all.runFor(60s);
    for (std::size_t i = 0; i < 9; ++i) {
        cr_expect_eq(
            all.seenAs(all.nameOf(i), member_state::Alive), 8, "%s is alive to %zu", all.nameOf(i).c_str(), all.seenAs(all.nameOf(i), member_state::Alive));
    }
}

Test(agreement, a_paused_daemon_is_taken_for_dead_and_refutes_when_it_returns)
{
    cluster all(nineDaemons(1));
    all.runFor(10s);
    all.pauseNode(2, 30s);
    all.runFor(25s);
    cr_assert_eq(all.seenAs(all.nameOf(2), member_state::Dead), 8);
    all.runFor(60s);
    cr_assert_eq(all.seenAs(all.nameOf(2), member_state::Alive), 8);
}

Test(agreement, an_address_reused_by_a_new_instance_does_not_keep_the_old_one_alive)
{
    cluster all(nineDaemons(1));
    all.runFor(10s);
    const std::size_t fresh = all.restart(1);
    all.runFor(20s);
    cr_assert_eq(all.seenAs(all.nameOf(1), member_state::Alive), 0);
    cr_assert_geq(all.seenAs(all.nameOf(1), member_state::Dead), 8, "%zu", all.seenAs(all.nameOf(1), member_state::Dead));
    cr_assert_eq(all.seenAs(all.nameOf(fresh), member_state::Alive), 8);
}

Test(agreement, leaving_is_a_state_that_everybody_hears_of)
{
    cluster all(nineDaemons(1));
    all.runFor(10s);
    all.at(5).members().leave();
    all.runFor(5s);
    cr_assert_eq(all.seenAs(all.nameOf(5), member_state::Leaving), 8);
}

// Its first incarnation is the time of its start, by the machine's clock; the others still know the later one of its former process.
Test(agreement, a_member_that_starts_again_with_its_clock_set_back_is_not_taken_for_leaving)
{
    for (const member_state former : {member_state::Leaving, member_state::Alive}) {
        membership other({"a", "d0", {"10.0.0.1", 1}, 10, member_state::Alive}, {}, 1);
        other.onUpdates({{"b", "d0", {"10.0.0.1", 2}, 101, former}}, test::worldStart);
        membership started({"b", "d0", {"10.0.0.1", 3}, 50, member_state::Alive}, {}, 2);
        started.onUpdates(other.nextUpdates(10, "b"), test::worldStart + 1s);
        other.onUpdates(started.nextUpdates(10, "a"), test::worldStart + 2s);
        cr_expect(other.find("b")->state == member_state::Alive, "after %s", std::string(toText(former)).c_str());
        cr_expect_eq(other.find("b")->peer.port, 3, "after %s: at its former address", std::string(toText(former)).c_str());
    }
}

// Two processes of one name, the former about to end, must not outbid each other for as long as both run.
Test(agreement, a_process_that_leaves_does_not_outbid_the_next_one_of_its_name)
{
    membership former({"b", "d0", {"10.0.0.1", 2}, 50, member_state::Alive}, {}, 1);
    former.leave();
    former.onUpdates({{"b", "d0", {"10.0.0.1", 3}, 200, member_state::Alive}}, test::worldStart);
    cr_expect_eq(former.self().incarnation, 51);
}

Test(agreement, a_dead_member_that_is_still_listed_keeps_its_part_of_limits_for_a_minute)
{
    membership own({"a", "d0", {"10.0.0.1", 1}, 1, member_state::Alive}, {}, 1);
    const time_point start = test::worldStart;
    own.onInstanceList({{"b", "d0", {"10.0.0.1", 2}, 0, member_state::Alive}}, start);
    cr_assert_eq(own.limitSharers(start).size(), 2);
    own.onUpdates({{"b", "d0", {"10.0.0.1", 2}, 5, member_state::Dead}}, start);
    cr_assert_eq(own.liveMembers().size(), 1);
    cr_assert_eq(own.limitSharers(start + 59s).size(), 2, "it may only be cut off from us");
    cr_assert_eq(own.limitSharers(start + 61s).size(), 1);
    own.onInstanceList({}, start + 5s);
    cr_assert_eq(own.limitSharers(start + 6s).size(), 1, "delisted: it is gone");
}

// ---- Configuration ---------------------------------------------------------------------------------------------------------------------

Test(agreement, a_document_is_in_force_everywhere_within_10_s_at_20_percent_loss)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        cluster all(nineDaemons(seed, 0.2));
        all.runFor(5s);
        all.putDocument(2, test::worldDocument() + "# changed\n");
        all.runFor(10s);
        cr_assert_eq(all.withRevision(2), 9, "seed %lu: in force at %zu of 9", static_cast<unsigned long>(seed), all.withRevision(2));
    }
}

Test(agreement, nothing_reverts_over_any_order_of_messages)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        cluster_options options = nineDaemons(seed, 0.1);
        options.doubled = 0.2;
        options.late = 3s;
        cluster all(options);
        seeded_random random(seed);
        for (std::uint64_t revision = 2; revision <= 12; ++revision) {
            all.putDocument(revision, test::worldDocument() + "# " + std::to_string(revision) + "\n");
            all.runFor(duration(static_cast<std::int64_t>(uniformBelow(random, 4'000'000))));
            all.storeDown = uniformBelow(random, 3) == 0;
            if (uniformBelow(random, 4) == 0) {
                all.pauseNode(uniformBelow(random, 9), 3s);
            }
        }
        all.storeDown = false;
        all.runFor(20s);
        cr_assert_not(all.everReverted(), "seed %lu", static_cast<unsigned long>(seed));
        cr_assert_eq(all.withRevision(12), 9, "seed %lu: %zu of 9", static_cast<unsigned long>(seed), all.withRevision(12));
    }
}

Test(agreement, a_domain_whose_only_reachable_copy_is_a_peer_gets_the_document)
{
    cluster all(nineDaemons(1));
    all.runFor(5s);
    all.cutDomain("d1", true);
    all.putDocument(2, test::worldDocument() + "# changed\n");
    all.runFor(10s);
    cr_assert_eq(all.withRevision(2), 6, "the domain is cut off from everything");
    all.cutDomain("d1", true, false);
    all.cut(1, 1); // nothing; the domain hears its peers again
    all.runFor(10s);
    cr_assert_eq(all.withRevision(2), 9);
}

// Sixty-six daemons hear of a new document within a second, and each has a way of its own to it: pulling at the first word sent it to
// everybody again, several times.
Test(agreement, a_document_that_a_daemon_is_about_to_get_by_itself_is_not_pulled)
{
    const time_point start = test::worldStart;
    document_pull_timer pull(1s);
    for (duration when = 0ms; when < 900ms; when += 50ms) {
        cr_assert_not(pull.onNewerAdvertised(true, start + when));
    }
    pull.onAdopted();
    cr_assert_not(pull.onNewerAdvertised(true, start + 1100ms), "that is another one");
}

Test(agreement, whoever_stays_behind_pulls_one_document_at_a_time)
{
    document_pull_timer pull(1s);
    cr_assert_not(pull.onNewerAdvertised(true, test::worldStart));
    cr_assert(pull.onNewerAdvertised(true, test::worldStart + 1s));
    cr_assert_not(pull.onNewerAdvertised(true, test::worldStart + 1100ms), "one is on its way");
    pull.onPullEnded();
    cr_assert(pull.onNewerAdvertised(true, test::worldStart + 1200ms), "it did not arrive: from the next who tells");
    pull.onPullEnded();
    pull.onAdopted();
    cr_assert(document_pull_timer(1s).onNewerAdvertised(false, test::worldStart), "whoever holds no document cannot serve until it has one");
    document_pull_timer atOnce((duration()));
    cr_assert(atOnce.onNewerAdvertised(true, test::worldStart), "where daemons depend on each other");
}

Test(agreement, two_daemons_of_each_domain_watch_the_store)
{
    cluster all(nineDaemons(1));
    all.runFor(10s);
    const std::uint64_t before = all.counters().storeReads;
    for (std::uint64_t revision = 2; revision <= 11; ++revision) {
        all.putDocument(revision, test::worldDocument() + "# " + std::to_string(revision) + "\n");
        all.runFor(10s);
    }
    cr_assert_leq(all.counters().storeReads - before, 10 * 3 * 2);
    cr_assert_eq(all.withRevision(11), 9);
}

Test(agreement, a_document_that_cannot_be_read_leaves_the_old_one_in_force)
{
    configuration documents;
    cr_assert_eq(documents.offer(3, test::worldDocument()), offer_result::Adopted);
    cr_assert_eq(documents.offer(4, "services: 7"), offer_result::Invalid);
    cr_assert_eq(documents.current()->revision, 3);
    cr_assert_not(documents.isNewer({4, documents.advert().hash ^ 1}) == false, "another document of that revision is worth a look");
    cr_assert_eq(documents.offer(3, test::worldDocument()), offer_result::NotNewer);
    cr_assert_eq(documents.offer(2, test::worldDocument()), offer_result::NotNewer);
}

// ---- Messages --------------------------------------------------------------------------------------------------------------------------

Test(agreement, gossip_survives_garbage_truncation_and_newer_versions)
{
    cluster_state one({"a", "d0", {"10.0.0.1", 1}, 1, member_state::Alive}, {}, 1);
    cluster_state two({"b", "d0", {"10.0.0.1", 2}, 1, member_state::Alive}, {}, 2);
    one.onLoadReport({"e1", 1, 1, 5, 1, 0});
    const std::string whole = one.compose("b", test::worldStart);
    seeded_random random(9);
    for (int round = 0; round < 20000; ++round) {
        std::string broken = whole;
        broken.resize(uniformBelow(random, whole.size() + 1));
        for (std::uint64_t i = 0; i < uniformBelow(random, 4) && !broken.empty(); ++i) {
            broken[uniformBelow(random, broken.size())] = static_cast<char>(random.next());
        }
        two.receive(broken, test::worldStart);
    }
    cr_assert(two.receive(whole, test::worldStart).accepted);
    cr_assert_not(two.receive(std::string(maxGossipBytes + 1, 'x'), test::worldStart).accepted);
    cr_assert_not(one.receive(whole, test::worldStart).accepted, "meant for another");
}

Test(agreement, evidence_merges_to_the_same_whatever_the_order)
{
    evidence_store first(1);
    evidence_store second(2);
    const evidence_key key{7, "v2", "chat"};
    for (int i = 0; i < 10; ++i) {
        first.record(key, i % 3 == 0, 50ms);
        second.record(key, false, 80ms);
    }
    const auto fromFirst = first.nextUpdates(10);
    const auto fromSecond = second.nextUpdates(10);
    for (int times = 0; times < 3; ++times) {
        for (const evidence_cell &cell : fromFirst) {
            second.merge(cell);
        }
        for (const evidence_cell &cell : fromSecond) {
            first.merge(cell);
        }
    }
    cr_assert_eq(first.total(key).answered, 20);
    cr_assert_eq(second.total(key).answered, 20);
    cr_assert_eq(first.total(key).failed, 4);
    cr_assert_eq(second.total(key).failed, 4);
    cr_assert(first.total(key).latency == second.total(key).latency);
}

// ---- Version moves ---------------------------------------------------------------------------------------------------------------------

Test(agreement, a_good_version_is_done_and_bad_ones_are_taken_back_with_little_exposure)
{
    for (const badness kind :
        {badness::None, badness::FailsAtOnce, badness::SlowsByHalf, badness::FailsUnderLoad, badness::FailsOnOneRoute, badness::BadAfterTenMinutes}) {
        const move_trial_result result = runMoveTrial(moveOf(kind, 1));
        const std::string name(toText(kind));
        const move_outcome wanted = kind == badness::None ? move_outcome::Done : move_outcome::RolledBack;
        cr_expect(result.recorded && result.everyoneEnded, "%s: no verdict in time", name.c_str());
        cr_expect(result.verdict == wanted, "%s: %s", name.c_str(), result.reason.c_str());
        cr_expect_lt(result.exposed * 50, result.requests, "%s: %lu of %lu exposed", name.c_str(), static_cast<unsigned long>(result.exposed),
            static_cast<unsigned long>(result.requests));
        cr_expect_eq(result.exposedLate, 0, "%s: %lu requests met it long after it showed", name.c_str(), static_cast<unsigned long>(result.exposedLate));
    }
}

Test(agreement, a_move_ends_in_time_with_the_store_down_a_domain_cut_and_daemons_replaced)
{
    move_trial_options options = moveOf(badness::FailsAtOnce, 2);
    options.window = 20min;
    options.storeDownFrom = 1s;
    options.storeDownFor = 25min;
    move_trial_result result = runMoveTrial(options);
    cr_expect(result.everyoneEnded, "the store was down throughout: taken back in effect");
    cr_expect(result.recorded && result.verdict == move_outcome::RolledBack, "recorded when the store is back");

    options = moveOf(badness::None, 3);
    options.window = 30min;
    options.domainCut = "d1";
    options.daemonsReplaced = true;
    options.loss = 0.05;
    result = runMoveTrial(options);
    cr_expect(result.everyoneEnded && result.recorded);
}

Test(agreement, without_evidence_a_move_is_taken_back_at_the_time_set)
{
    move_trial_options options = moveOf(badness::None, 4);
    options.sizes.requestsPerSecond = 0.05;
    options.window = 10min;
    const move_trial_result result = runMoveTrial(options);
    cr_assert(result.recorded && result.verdict == move_outcome::RolledBack);
    cr_assert(result.everyoneEnded);
}

Test(agreement, a_veto_is_never_withdrawn_and_a_verdict_is_final)
{
    const version_move facts{"writer", "v1", "v2", test::worldStart, test::worldStart + 1h};
    version_mover mover(facts);
    evidence_store book(1);
    mover.update(book, {}, test::worldStart + 1s);
    cr_assert_eq(mover.state(), move_state::Moving);
    mover.onPeerUpdate({mover.id(), move_update_kind::Rejected, "a peer says so"});
    cr_assert_eq(mover.share(), 0);
    for (int i = 0; i < 5000; ++i) {
        book.record({mover.id(), "v2", "chat"}, false, 50ms);
        book.record({mover.id(), "v1", "chat"}, false, 50ms);
    }
    mover.update(book, {}, test::worldStart + 2s);
    cr_assert_eq(mover.state(), move_state::Rejected, "good evidence does not lift a veto");
    cr_assert(mover.dueOutcome() == move_outcome::RolledBack);
    mover.onOutcome(move_outcome::Done); // recorded by somebody who had not heard of the veto: one verdict, the same for all
    cr_assert_eq(mover.state(), move_state::Done);
    mover.onPeerUpdate({mover.id(), move_update_kind::Rejected, "late"});
    cr_assert_eq(mover.state(), move_state::Done);
    cr_assert_not(mover.dueOutcome().has_value());
}

Test(agreement, account_parts_sum_up_to_the_limit)
{
    cluster all(nineDaemons(3));
    all.runFor(5s);
    all.at(0).setDemand({{"demo", 9.0}});
    all.at(1).setDemand({{"demo", 3.0}});
    all.runFor(20s);
    const client_account account{"demo", 1.0, 100, {}};
    std::uint32_t sum = 0;
    for (std::size_t i = 0; i < 9; ++i) {
        sum += all.at(i).accountLimitShare(account);
    }
    cr_assert_eq(sum, 100);
    cr_assert_gt(all.at(0).accountLimitShare(account), 60);
}

namespace {

cluster_state memberOf(const std::string &name, const std::string &domain, std::uint64_t start, std::size_t smallLimit = 16)
{
    cluster_state_options options;
    options.smallDeploymentLimit = smallLimit;
    cluster_state state({name, domain, {"10.0.0.1", 1}, start, member_state::Alive}, options, 1);
    state.members().onInstanceList({{"a", "d0", {"10.0.0.1", 1}, 0, member_state::Alive}, {"b", "d1", {"10.0.0.1", 2}, 0, member_state::Alive},
                                       {"c", "d1", {"10.0.0.1", 3}, 0, member_state::Alive}},
        test::worldStart);
    return state;
}

const client_account demoAccount{"demo", 1.0, 100, {}};

} // namespace

// Its reports begin anew, while the others keep the number of the former process's newest.
Test(agreement, the_demand_of_a_daemon_that_was_started_again_counts_at_once)
{
    cluster_state a = memberOf("a", "d0", 1000);
    a.setDemand({{"demo", 10.0}});
    cluster_state former = memberOf("b", "d1", 1000);
    for (int change = 0; change < 20; ++change) {
        former.setDemand({{"demo", change % 2 == 0 ? 1.0 : 90.0}});
    }
    a.receive(former.compose("a", test::worldStart + 1s), test::worldStart + 1s);
    cr_assert_leq(a.accountLimitShare(demoAccount), 12);
    cluster_state started = memberOf("b", "d1", 2000);
    started.setDemand({{"demo", 10.0}});
    a.receive(started.compose("a", test::worldStart + 2s), test::worldStart + 2s);
    cr_expect_geq(a.accountLimitShare(demoAccount), 45, "%u", a.accountLimitShare(demoAccount));
}

// In a large deployment a failure domain's demand is told as one sum; the death of a member must not make the others pass over what follows.
Test(agreement, the_demand_of_a_failure_domain_counts_at_once_after_a_death)
{
    cluster_state a = memberOf("a", "d0", 1000, 1);
    a.setDemand({{"demo", 10.0}});
    cluster_state b = memberOf("b", "d1", 1000, 1);
    b.setDemand({{"demo", 10.0}});
    cluster_state c = memberOf("c", "d1", 1000, 1);
    for (int change = 0; change < 20; ++change) {
        c.setDemand({{"demo", change % 2 == 0 ? 1.0 : 80.0}});
    }
    b.receive(c.compose("b", test::worldStart + 1s), test::worldStart + 1s);
    a.receive(b.compose("a", test::worldStart + 2s), test::worldStart + 2s);
    cr_assert_leq(a.accountLimitShare(demoAccount), 12, "%u", a.accountLimitShare(demoAccount));
    b.members().onUpdates({{"c", "d1", {"10.0.0.1", 3}, 1000, member_state::Dead}}, test::worldStart + 3s);
    a.receive(b.compose("a", test::worldStart + 4s), test::worldStart + 4s);
    cr_expect_geq(a.accountLimitShare(demoAccount), 45, "%u", a.accountLimitShare(demoAccount));
}

Test(agreement, two_daemons_ask_an_endpoint_for_its_load_and_in_a_large_deployment_both_are_of_its_domain)
{
    for (const std::size_t daemons : {9U, 30U}) {
        cluster_options options;
        options.domains = spreadOver(daemons, 3);
        options.seed = 1;
        cluster all(options);
        all.runFor(30s);
        for (std::uint64_t key = 1; key <= 50; ++key) {
            std::size_t pollers = 0;
            for (std::size_t i = 0; i < daemons; ++i) {
                const bool polls = all.at(i).pollsEndpoint(key, "d1");
                pollers += polls ? 1 : 0;
                cr_assert(!polls || daemons == 9 || options.domains[i] == "d1", "%s asks an endpoint of another domain", all.nameOf(i).c_str());
            }
            cr_assert_eq(pollers, 2, "%zu daemons, key %lu: %zu ask", daemons, static_cast<unsigned long>(key), pollers);
        }
    }
}
