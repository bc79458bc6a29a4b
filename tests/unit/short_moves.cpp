// Version moves that have seconds only: a good version gets there in time, a bad one is condemned after few bad answers.
#include "chicoryrouter/cluster_state.h"
#include "chicoryrouter/random.h"
#include "chicoryrouter/routing_table.h"
#include "chicoryrouter/version_mover.h"
#include "trials/move_trial.h"

#include <criterion/criterion.h>

#include <set>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{std::chrono::hours(1000)};

version_move moveOfSeconds()
{
    version_move facts;
    facts.service = "writer";
    facts.to = "v2";
    facts.timeLimit = 12s;
    facts.orderId = 17;
    return facts;
}

struct behaviour
{
    double failing = 0.0; // part of the new version's answers that fail
    int slower = 1;       // times the usual latency
    bool onOneRoute = false;
    double portion = 1.0; // of the new version's answers that are slower
};

struct outcome
{
    move_state state = move_state::Waiting;
    time_point decidedAt = noDeadline;
    unsigned exposed = 0; // requests sent to the new version
    unsigned bad = 0;     // answers of it that failed or were slow
    unsigned all = 0;
};

// Daemons over failure domains, with a move from the first moment on.
trials::cluster_options clusterOf(std::size_t daemons, std::size_t domains)
{
    trials::cluster_options options;
    options.domains = trials::spreadOver(daemons, domains);
    options.document = "services:\n  - name: writer\n    kind: model\n    current_version: v1\n    versions:\n      - {name: v1, max_concurrency: 64}\n"
                       "      - {name: v2, max_concurrency: 64}\nfailure_domains:\n";
    for (std::size_t i = 0; i < domains; ++i) {
        options.document += "  - {name: d" + std::to_string(i) + ", region: r}\n";
    }
    options.document += "accounts:\n  - {name: a, max_in_flight: 100, token_hashes: [" + std::string(64, 'a')
        + "]}\nroutes:\n  - {name: chat, service: writer, repeatable: true, deadline: 60s}\n"
          "moves:\n  - {service: writer, from: v1, to: v2, start_at: 2019-01-01T00:00:00Z, done_by: 2030-01-01T00:00:00Z}\n";
    return options;
}

// A hundred requests a second on three routes for twelve seconds.
outcome play(const behaviour &fresh, std::uint64_t seed)
{
    version_move facts = moveOfSeconds();
    version_mover mover(facts);
    evidence_store book(1);
    seeded_random random(seed);
    const std::array<std::string, 3> routes = {"draft", "chat", "tag"};
    outcome result;
    for (time_point now = start; now < start + 14s; now += 10ms) {
        const std::string &route = routes.at(uniformBelow(random, 3));
        const bool toNew = uniformBelow(random, totalShare) < mover.share();
        const bool affected = toNew && (!fresh.onOneRoute || route == "chat");
        const bool fails = chance(random, affected ? fresh.failing : 0.01);
        const duration usual = 50ms + std::chrono::milliseconds(uniformBelow(random, 60));
        book.record({mover.id(), toNew ? "v2" : "", route}, fails, usual * (affected && chance(random, fresh.portion) ? fresh.slower : 1));
        ++result.all;
        result.exposed += toNew ? 1 : 0;
        result.bad += affected && (fails || fresh.slower > 1) ? 1 : 0;
        mover.update(book, {40, 4, 64}, now);
        if (const std::optional<move_outcome> verdict = mover.dueOutcome()) {
            mover.onOutcome(*verdict);
            result.decidedAt = now;
        }
    }
    result.state = mover.state();
    return result;
}

} // namespace

Test(short_moves, a_good_version_is_in_charge_before_the_time_set)
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const outcome result = play({}, seed);
        cr_assert_eq(result.state, move_state::Done, "seed %lu", static_cast<unsigned long>(seed));
        cr_assert_leq(result.decidedAt, start + 12s);
    }
}

Test(short_moves, a_bad_version_is_taken_back_within_its_allowance)
{
    const std::array<behaviour, 3> kinds = {{{0.5, 1, false}, {0.0, 6, false}, {0.7, 1, true}}};
    for (const behaviour &kind : kinds) {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const outcome result = play(kind, seed);
            cr_assert_eq(result.state, move_state::RolledBack, "failing %f slower %d seed %lu", kind.failing, kind.slower, static_cast<unsigned long>(seed));
            cr_assert_leq(result.exposed, result.all / 10 + 50, "exposed %u, seed %lu", result.exposed, static_cast<unsigned long>(seed));
        }
    }
}

// Half of the answers are three times slower: neither one route nor one daemon sees enough of it in twelve seconds.
Test(short_moves, a_version_that_is_slow_in_part_never_gets_more_than_its_allowance)
{
    for (const double portion : {0.3, 0.5, 0.7, 1.0}) {
        for (std::uint64_t seed = 1; seed <= 100; ++seed) {
            const outcome result = play({0.0, 3, false, portion}, seed);
            cr_assert_neq(result.state, move_state::Done, "portion %f seed %lu", portion, static_cast<unsigned long>(seed));
            cr_assert_leq(result.exposed, result.all / 10 + 50, "exposed %u, portion %f, seed %lu", result.exposed, portion, static_cast<unsigned long>(seed));
        }
    }
}

// Sixty answers over twenty new endpoints and nine daemons: with the first eight of each pair left out nothing was known of their speed.
Test(short_moves, the_speed_of_a_version_on_many_endpoints_is_evidence)
{
    document_reader reader = [](std::string_view) {
        document wanted;
        wanted.services.emplace_back();
        wanted.services.back().name = "writer";
        wanted.services.back().anyVersion = true;
        wanted.moves.push_back(moveOfSeconds());
        return wanted;
    };
    cluster_state_options options;
    options.reader = reader;
    cluster_state daemon({"entry-1", "fd-1", {"10.0.0.1", 1}, 1, member_state::Alive}, options, 1);
    cr_assert(daemon.offerDocument(1, "a move") == offer_result::Adopted);
    attempt_outcome outcome{"", "writer", "v2", "chat", attempt_result::Completed, 80ms};
    for (int i = 0; i < 20; ++i) {
        outcome.endpointId = "e" + std::to_string(i);
        outcome.endpointCold = i < 5;
        daemon.onOutcome(outcome, start);
    }
    const std::uint64_t id = daemon.moves().at("writer").id();
    cr_assert_eq(daemon.evidence().total({id, "v2", "chat"}).answered, 20);
    cr_assert_eq(daemon.evidence().total({id, "v2", "chat"}).latencyCount(), 15, "only those that say they are cold are excused");
}

Test(short_moves, every_daemon_names_a_move_of_one_order_alike)
{
    version_move first = moveOfSeconds();
    version_move later = first;
    later.startAt = start + 5s;
    version_move again = first;
    again.orderId = 18;
    cr_assert_eq(moveId(first), moveId(later));
    cr_assert_neq(moveId(first), moveId(again));
}

// All daemons were killed and started anew, or the one that decides was replaced: what was promised by a moment is not promised anew.
Test(short_moves, a_daemon_that_starts_in_the_midst_of_a_move_ends_it_at_the_time_set)
{
    version_move facts = moveOfSeconds();
    facts.firstSeenAt = start;
    const evidence_store none(1);
    version_mover late(facts);
    late.update(none, {40, 4, 64}, start + 8s);
    cr_assert_eq(late.state(), move_state::Moving);
    late.update(none, {40, 4, 64}, start + 11300ms); // it is to be recorded by the time set
    cr_assert(late.dueOutcome() == move_outcome::RolledBack);
    facts.firstSeenAt = start + 20s; // by a clock that is ahead
    version_mover ahead(facts);
    ahead.update(none, {40, 4, 64}, start + 8s);
    ahead.update(none, {40, 4, 64}, start + 19s);
    cr_assert_not(ahead.dueOutcome());
    ahead.update(none, {40, 4, 64}, start + 19300ms);
    cr_assert(ahead.dueOutcome() == move_outcome::RolledBack);
}

// The evidence of the old version changes all the time and comes first by name: that of the new one must be told all the same.
Test(short_moves, no_evidence_waits_for_ever_behind_evidence_that_keeps_changing)
{
    constexpr std::size_t daemons = 66;
    constexpr std::size_t perMessage = 12;
    evidence_store book(1);
    const evidence_key old{7, "v1", "chat"};
    const evidence_key fresh{7, "v2", "chat"};
    evidence_counts counts;
    for (std::uint64_t origin = 2; origin <= daemons; ++origin) {
        book.merge({origin, fresh, {5, 4, {}}});
    }
    std::set<std::uint64_t> told;
    const std::size_t turns = 2 * (2 * daemons / perMessage + 1); // twice as many as hold everything once
    for (std::size_t turn = 0; turn < turns; ++turn) {
        ++counts.answered;
        for (std::uint64_t origin = 2; origin <= daemons; ++origin) {
            book.merge({origin, old, counts});
        }
        for (const evidence_cell &cell : book.nextUpdates(perMessage)) {
            if (cell.key == fresh) {
                told.insert(cell.origin);
            }
        }
    }
    cr_assert_eq(told.size(), daemons - 1, "told of %zu", told.size());
}

// Each of 66 daemons sees one failure of the new version, while all see many answers of the old one: none can tell alone, all can together.
Test(short_moves, what_66_daemons_saw_of_a_version_is_known_to_all_long_before_the_bound)
{
    constexpr std::size_t daemons = 66;
    constexpr duration knownWithin = 2s; // of the 5 s after which nothing more may be sent to a bad version
    trials::cluster_options options = clusterOf(daemons, 5);
    options.noteInterval = 330ms;
    options.loss = 0.02;
    trials::cluster all(options);
    std::function<void()> oldAnswers = [&] {
        for (std::size_t i = 0; i < daemons; ++i) {
            all.at(i).onOutcome({"o" + std::to_string(i), "writer", "v1", "chat", attempt_result::Completed, 80ms}, all.now());
        }
        all.at(all.now() + 300ms, oldAnswers);
    };
    all.at(all.now(), oldAnswers);
    all.runFor(5s);
    for (std::size_t i = 0; i < daemons; ++i) {
        all.at(i).onOutcome({"n" + std::to_string(i), "writer", "v2", "chat", attempt_result::Failed, {}}, all.now());
    }
    all.runFor(knownWithin);
    for (std::size_t i = 0; i < daemons; ++i) {
        const version_mover &mover = all.at(i).moves().at("writer");
        const std::uint64_t known = all.at(i).evidence().total({mover.id(), "v2", "chat"}).failed;
        cr_expect_geq(known, daemons * 9 / 10, "%s knows of %lu", all.nameOf(i).c_str(), static_cast<unsigned long>(known));
    }
}

// One daemon finds a version bad while others stand still, are cut off one way or as a domain, or are replaced. Five seconds later nobody
// who has been in touch all that time sends it anything; a pair that cannot hear each other counts as in touch.
Test(short_moves, a_veto_reaches_every_daemon_in_touch_whatever_else_happens)
{
    constexpr std::size_t daemons = 20;
    constexpr duration within = 5s;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        trials::cluster_options options = clusterOf(daemons, 4);
        options.noteInterval = 100ms;
        options.loss = 0.05;
        options.seed = seed;
        trials::cluster all(options);
        all.surroundings = [](std::size_t, const version_move &) {
            return move_context{40, 8, 64};
        };
        seeded_random random(seed * 31);
        const time_point begun = all.now();
        std::vector<time_point> calmFrom(daemons, begun); // by daemon: in touch since then
        const auto someTime = [&](duration most) {
            return duration(static_cast<std::int64_t>(uniformBelow(random, static_cast<std::uint64_t>(most.count()))));
        };
        const auto disturb = [&] {
            const std::size_t which = 1 + uniformBelow(random, all.size() - 1); // the first one finds out
            const duration span = 500ms + someTime(4s);
            const std::size_t kind = uniformBelow(random, 4);
            if (kind == 0) {
                all.pauseNode(which, span);
                calmFrom[which] = all.now() + span;
            } else if (kind == 1) {
                const std::size_t other = uniformBelow(random, all.size());
                all.cut(which, other);
                all.at(all.now() + span, [&all, which, other] { all.cut(which, other, false); });
            } else if (kind == 2) {
                const std::string domain = "d" + std::to_string(1 + uniformBelow(random, 3));
                all.cutDomain(domain, true);
                all.at(all.now() + span, [&all, domain] { all.cutDomain(domain, true, false); });
                for (std::size_t i = 0; i < all.size(); ++i) {
                    const bool inside = all.at(i).members().self().failureDomain == domain;
                    calmFrom[i] = inside ? std::max(calmFrom[i], all.now() + span) : calmFrom[i];
                }
            } else if (all.isLiving(which)) {
                all.restart(which);
                calmFrom.push_back(all.now());
            }
        };
        for (int i = 0; i < 12; ++i) {
            all.at(begun + 1s + someTime(14s), disturb);
        }
        time_point condemnedAt = noDeadline;
        all.at(begun + 3s, [&] {
            for (int i = 0; i < 40; ++i) {
                all.at(0).onOutcome({"o", "writer", "v1", "chat", attempt_result::Completed, 80ms}, all.now());
                all.at(0).onOutcome({"n", "writer", "v2", "chat", attempt_result::Failed, {}}, all.now());
            }
            condemnedAt = all.now() + 500ms; // it looks at its evidence at its next tick
        });
        while (all.now() < begun + 25s) {
            all.runFor(100ms);
            for (std::size_t i = 0; i < all.size(); ++i) {
                const auto move = all.at(i).moves().find("writer");
                const bool inTouch = all.isLiving(i) && condemnedAt != noDeadline && all.now() > std::max(calmFrom[i], condemnedAt) + within;
                const bool sends = move != all.at(i).moves().end() && move->second.share() > 0;
                cr_assert(!inTouch || !sends, "seed %lu: %s still sends", static_cast<unsigned long>(seed), all.nameOf(i).c_str());
            }
        }
    }
}

// Answers take two seconds; the version is shown to be as fast by their first tokens, and whoever may go on does so at once.
Test(short_moves, a_good_version_with_long_answers_is_in_charge_before_the_time_set)
{
    unsigned done = 0;
    constexpr unsigned seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        trials::move_trial_options options;
        options.sizes = {"standard", 9, 4, 12, 64, 95.0, 2s, {0.31, 0.26, 0.43}};
        options.window = 15s;
        options.newReadyAfter = 500ms;
        options.noteInterval = 100ms;
        options.seed = seed;
        const trials::move_trial_result result = trials::runMoveTrial(options);
        cr_expect(result.recorded, "seed %lu", static_cast<unsigned long>(seed));
        done += result.verdict == move_outcome::Done ? 1 : 0;
    }
    cr_assert_geq(done, seeds * 9 / 10, "%u of %u were completed", done, seeds);
}

Test(short_moves, the_first_token_of_an_answer_is_counted_once)
{
    evidence_store book(1);
    const evidence_key key{7, "v2", "chat"};
    book.recordLatency(key, 80ms);
    cr_assert_eq(book.total(key).startedCount(), 1);
    cr_assert_eq(book.total(key).answered, 0);
    book.record(key, false, {});
    cr_assert_eq(book.total(key).startedCount(), 1);
    cr_assert_eq(book.total(key).latencyCount(), 1);
    book.recordLatency(key, {});
    book.record(key, true, {});
    cr_assert_eq(book.total(key).startedCount(), 2);
}

// A third of the answers on one route fail; each of 66 daemons sees one of them in seconds. What all know together must reach all in time.
Test(short_moves, a_bad_version_on_66_daemons_gets_nothing_more_soon_after_it_shows)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        trials::move_trial_options options;
        options.sizes = {"grown", 66, 5, 60, 64, 350.0, 2s, {0.43, 0.26, 0.31}};
        options.kind = trials::badness::FailsOnOneRoute;
        options.window = 15s;
        options.newReadyAfter = 3s; // much is known of the old version by then
        options.noteInterval = 330ms;
        options.loss = 0.02;
        options.seed = seed;
        const trials::move_trial_result result = trials::runMoveTrial(options);
        cr_assert(result.recorded && result.verdict == move_outcome::RolledBack, "seed %lu", static_cast<unsigned long>(seed));
        cr_assert_gt(result.exposed, 0, "seed %lu: the version was never tried", static_cast<unsigned long>(seed));
        cr_assert_eq(result.exposedPastBound, 0, "seed %lu: %lu requests later than 5 s after its 50th bad answer", static_cast<unsigned long>(seed),
            static_cast<unsigned long>(result.exposedPastBound));
    }
}
