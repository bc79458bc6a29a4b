// Planned stops of routers as real processes, against callers that know what became of each of their connections.
#include "support/held_slots.h"
#include "support/process_deployment.h"
#include "support/socket_caller.h"

#include <criterion/criterion.h>

#include <atomic>
#include <deque>
#include <fstream>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::answer_end;
using test::daemon_process;
using test::describeEnd;
using test::process_deployment;
using test::requestHead;
using test::socket_answer;
using test::socket_caller;
using test::streamRequest;
using test::takeAllSlots;

namespace {

constexpr duration closesAfter = 2500ms; // after SIGTERM: the router closes what is idle, and its listening socket
constexpr duration refusesAfter = 3s;    // after SIGTERM: new requests
constexpr duration callerPause = 2ms;    // between two requests of a caller
constexpr duration stopBound = 10s;      // stop_within is 8 s

std::string lookRequest(const std::string &id)
{
    return requestHead("GET", "/look/1", id);
}

// The answers at a stop: served, or refused with the promise that the request did not run.
bool isTruthful(const socket_answer &answer)
{
    return answer.isWhole() && (answer.status == 200 || answer.status == 503);
}

void assertTruthful(const socket_answer &answer, const std::string &what)
{
    cr_assert(isTruthful(answer), "%s: %s", what.c_str(), answer.text().c_str());
}

struct stopping_router
{
    stopping_router()
        : router(all.addRouter())
    {
        router.start();
        cr_assert(all.serves(router), "no lookup is answered");
    }

    void terminate()
    {
        stopRequestedAt = systemNow();
        router.terminate();
    }

    void waitUntilAfterStopRequest(duration span) const { std::this_thread::sleep_until(stopRequestedAt + span); }

    void assertEnds()
    {
        cr_assert(router.ends(stopBound), "it still runs 10 s later");
        cr_assert_eq(router.endedWith(), 0, "%s", describeEnd(router.endedWith()).c_str());
    }

    [[nodiscard]] const address &gateway() const { return router.own().gateway; }

    process_deployment all;
    daemon_process &router;
    time_point stopRequestedAt{};
};

// The last line of a router's log that has `text`; empty if there is none.
std::string logLine(const daemon_process &router, const std::string &text)
{
    std::ifstream log(router.logFile());
    std::string line;
    std::string found;
    while (std::getline(log, line)) {
        found = line.find(text) != std::string::npos ? line : found;
    }
    return found;
}

// What a crowd of callers saw, each request on a connection of its own.
struct crowd_result
{
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::atomic<int> unanswered{0}; // connected, and no whole answer
    std::atomic<int> broken{0};     // connected, and the request could not be written
};

void callUntilClosed(const address &gateway, const std::string &name, duration pauseBeforeRequest, crowd_result &result)
{
    for (int number = 0;; ++number) {
        socket_caller caller;
        if (!caller.connect(gateway)) {
            return;
        }
        std::this_thread::sleep_for(pauseBeforeRequest);
        if (!caller.send(lookRequest(name + "-" + std::to_string(number)))) {
            ++result.broken;
            continue;
        }
        const socket_answer answer = caller.readAnswer();
        if (!isTruthful(answer)) {
            ++result.unanswered;
        } else {
            ++(answer.status == 200 ? result.served : result.refused);
        }
        caller.close();
        std::this_thread::sleep_for(callerPause);
    }
}

} // namespace

// A connection accepted shortly before the close of idle ones has its request still on its way.
Test(process_stops, requests_on_connections_opened_shortly_before_the_close_are_answered)
{
    stopping_router all;
    all.terminate();
    all.waitUntilAfterStopRequest(closesAfter - 200ms);
    std::deque<socket_caller> callers(10);
    for (socket_caller &caller : callers) {
        cr_assert(caller.connect(all.gateway()));
        std::this_thread::sleep_for(15ms);
    }
    all.waitUntilAfterStopRequest(closesAfter + 60ms);
    int number = 0;
    for (socket_caller &caller : callers) {
        std::this_thread::sleep_for(30ms);
        cr_assert(caller.send(lookRequest("opened-" + std::to_string(++number))), "closed before its request");
        assertTruthful(caller.readAnswer(), "opened before");
        caller.close();
    }
    all.assertEnds();
}

// A request that has come in part when idle connections are closed is not idle.
Test(process_stops, requests_written_in_two_pieces_across_the_close_are_answered)
{
    stopping_router all;
    std::deque<socket_caller> callers(12);
    for (socket_caller &caller : callers) {
        cr_assert(caller.connect(all.gateway()));
    }
    for (std::size_t i = 0; i < callers.size(); i += 2) { // every other connection has served before
        cr_assert(callers[i].send(lookRequest("first-" + std::to_string(i))));
        assertTruthful(callers[i].readAnswer(), "before the stop");
    }
    all.terminate();
    all.waitUntilAfterStopRequest(closesAfter - 200ms);
    const std::string look = lookRequest("pieces");
    const std::string stream = streamRequest("pieces");
    const std::string requests[] = {look, look, stream, stream}; // cut in the head, and in the body
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const std::string &request = requests[i % 4];
        cr_assert(callers[i].send(request.substr(0, request.size() - 3)));
    }
    all.waitUntilAfterStopRequest(closesAfter + 400ms);
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const std::string &request = requests[i % 4];
        cr_assert(callers[i].send(request.substr(request.size() - 3)), "closed inside request %zu", i);
        assertTruthful(callers[i].readAnswer(), "in two pieces");
    }
    all.assertEnds();
}

// Requests that wait in the kernel on kept connections when idle ones are closed are not idle either.
Test(process_stops, requests_unread_on_kept_connections_at_the_close_are_answered)
{
    stopping_router all;
    std::deque<socket_caller> callers(30);
    for (socket_caller &caller : callers) {
        cr_assert(caller.connect(all.gateway()));
        cr_assert(caller.send(lookRequest("first")));
        assertTruthful(caller.readAnswer(), "before the stop");
    }
    all.terminate();
    all.waitUntilAfterStopRequest(closesAfter - 300ms);
    all.router.pause();
    for (socket_caller &caller : callers) {
        cr_assert(caller.send(lookRequest("second")));
    }
    all.waitUntilAfterStopRequest(closesAfter + 100ms);
    all.router.resume();
    for (socket_caller &caller : callers) {
        assertTruthful(caller.readAnswer(), "unread at the close");
    }
    all.assertEnds();
}

// Several routers stop under callers that never reuse a connection, some of which take their time to send.
Test(process_stops, callers_that_always_connect_anew_lose_nothing)
{
    process_deployment all;
    constexpr int routers = 4;
    for (int i = 1; i <= routers; ++i) {
        all.addRouter("entry-" + std::to_string(i)).start();
    }
    for (const auto &router : all.processes) {
        cr_assert(all.serves(*router), "no lookup is answered");
    }
    crowd_result result;
    std::vector<std::thread> callers;
    for (int i = 0; i < 15 * routers; ++i) {
        const daemon_process &router = *all.processes[static_cast<std::size_t>(i % routers)];
        const duration pause = i / routers < 10 ? 0ms : (i / routers - 9) * 50ms;
        callers.emplace_back([&, i, pause] { callUntilClosed(router.own().gateway, "caller-" + std::to_string(i), pause, result); });
    }
    std::this_thread::sleep_for(300ms);
    for (const auto &router : all.processes) {
        router->terminate();
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    cr_expect_gt(result.served, 0);
    cr_expect_eq(result.unanswered, 0, "%d of %d requests without an answer", result.unanswered.load(), result.served + result.refused);
    cr_expect_eq(result.broken, 0, "%d connections ended before their request was written", result.broken.load());
    for (const auto &router : all.processes) {
        cr_expect(router->ends(stopBound), "it still runs");
        cr_expect_eq(router->endedWith(), 0, "%s", describeEnd(router->endedWith()).c_str());
    }
}

// A stream that began before the stop was promised a kept connection: a request that follows at its end is answered.
Test(process_stops, a_request_that_follows_a_stream_across_the_stop_is_answered)
{
    stopping_router all;
    all.all.writer1.faults.workMillis = 600; // before the answer and between its events: over 4 s in all
    all.all.writer2.faults.workMillis = 600;
    std::deque<socket_caller> callers(6);
    for (socket_caller &caller : callers) {
        cr_assert(caller.connect(all.gateway()));
        cr_assert(caller.send(streamRequest("stream")));
    }
    std::this_thread::sleep_for(900ms);
    all.terminate();
    for (socket_caller &caller : callers) {
        const socket_answer stream = caller.readAnswer();
        assertTruthful(stream, "stream");
        cr_assert_eq(stream.status, 200);
        if (!stream.saysClose()) {
            cr_assert(caller.send(lookRequest("next")));
            assertTruthful(caller.readAnswer(), "after the stream");
        }
    }
    all.assertEnds();
}

// Requests that arrive while the router closes are refused like those before: they might not finish in time.
Test(process_stops, requests_that_arrive_during_the_close_are_refused_as_not_run)
{
    stopping_router all;
    all.terminate();
    all.waitUntilAfterStopRequest(closesAfter - 100ms);
    socket_caller caller;
    cr_assert(caller.connect(all.gateway()));
    all.waitUntilAfterStopRequest(refusesAfter + 200ms);
    cr_assert(caller.send(lookRequest("late")), "closed before its request");
    const socket_answer answer = caller.readAnswer();
    cr_assert(answer.isWhole() && answer.status == 503, "%s", answer.text().c_str());
    cr_assert_neq(answer.bytes.find("Retry-After: "), std::string::npos);
    cr_assert_eq(all.all.runsOf("late"), 0);
    all.assertEnds();
}

// A body that begins in time and ends after the router has ceased to serve: the request is whole only then, and is refused like one that arrives then.
Test(process_stops, requests_whose_bodies_end_during_the_close_are_refused_as_not_run)
{
    stopping_router all;
    std::deque<socket_caller> callers(2);
    const auto id = [](std::size_t number) {
        return "body-" + std::to_string(number);
    };
    all.terminate();
    all.waitUntilAfterStopRequest(closesAfter - 200ms);
    for (std::size_t i = 0; i < callers.size(); ++i) {
        const std::string request = streamRequest(id(i));
        cr_assert(callers[i].connect(all.gateway()));
        cr_assert(callers[i].send(request.substr(0, request.size() - 3)));
    }
    for (std::size_t i = 0; i < callers.size(); ++i) {
        all.waitUntilAfterStopRequest(refusesAfter + i * 1s + 300ms);
        const std::string request = streamRequest(id(i));
        cr_assert(callers[i].send(request.substr(request.size() - 3)), "closed inside request %zu", i);
        const socket_answer answer = callers[i].readAnswer();
        cr_expect(answer.isWhole() && answer.status == 503, "request %zu: %s", i, answer.text().c_str());
        cr_expect_eq(all.all.runsOf(id(i)), 0, "request %zu ran", i);
    }
    all.assertEnds();
}

// Requests that wait for a slot when the stop begins, or arrive after it, are refused in time: the router kept them until it ended, and closed
// their connections without an answer.
Test(process_stops, requests_that_wait_for_a_slot_are_refused_as_not_run)
{
    stopping_router all;
    std::deque<socket_caller> streams;
    takeAllSlots(all.all, all.gateway(), streams);
    std::deque<socket_caller> waiting(4);
    const auto ask = [&](std::size_t number) {
        cr_assert(waiting[number].connect(all.gateway()));
        cr_assert(waiting[number].send(streamRequest("waiting-" + std::to_string(number))));
    };
    ask(0);
    ask(1);
    std::this_thread::sleep_for(100ms);
    all.terminate();
    all.waitUntilAfterStopRequest(400ms);
    ask(2);
    all.waitUntilAfterStopRequest(1600ms);
    ask(3);
    for (std::size_t i = 0; i < waiting.size(); ++i) {
        const socket_answer answer = waiting[i].readAnswer();
        cr_expect(answer.isWhole() && answer.status == 503, "request %zu: %s", i, answer.text().c_str());
        cr_expect_neq(answer.bytes.find("Retry-After: "), std::string::npos, "request %zu", i);
        cr_expect_eq(all.all.runsOf("waiting-" + std::to_string(i)), 0, "request %zu ran", i);
    }
    cr_expect_leq(systemNow() - all.stopRequestedAt, refusesAfter + 1s);
    all.assertEnds();
}

// A slot that becomes free in time still goes to a request that waits for it.
Test(process_stops, requests_that_wait_for_a_slot_get_one_that_becomes_free)
{
    stopping_router all;
    std::deque<socket_caller> streams;
    takeAllSlots(all.all, all.gateway(), streams);
    socket_caller waiting;
    cr_assert(waiting.connect(all.gateway()));
    cr_assert(waiting.send(streamRequest("waiting")));
    all.all.writer1.faults.workMillis = 50;
    all.all.writer2.faults.workMillis = 50;
    all.terminate();
    std::this_thread::sleep_for(300ms);
    for (socket_caller &caller : streams) {
        caller.close();
    }
    const socket_answer answer = waiting.readAnswer();
    cr_assert(answer.isWhole() && answer.status == 200, "%s", answer.text().c_str());
    all.assertEnds();
}

// A request that an endpoint has and does not answer gets a final answer before the stop ends: its connection was closed without one.
Test(process_stops, requests_that_no_endpoint_answers_get_an_answer_before_the_end)
{
    stopping_router all;
    all.all.writer1.faults.workMillis = 20000;
    all.all.writer2.faults.workMillis = 20000;
    std::deque<socket_caller> callers(3);
    int number = 0;
    for (socket_caller &caller : callers) {
        cr_assert(caller.connect(all.gateway()));
        cr_assert(caller.send(streamRequest("held-" + std::to_string(++number))));
    }
    cr_assert(test::eventually([&all] { return all.all.runsOf("held-1") + all.all.runsOf("held-2") + all.all.runsOf("held-3") == 3; }));
    all.terminate();
    for (socket_caller &caller : callers) {
        const socket_answer answer = caller.readAnswer();
        cr_expect(answer.isWhole() && answer.status == 502, "%s", answer.text().c_str()); // a 503 would promise that it has not run
    }
    all.assertEnds();
}

// The log tells what a stop closed and cut.
Test(process_stops, the_last_line_of_the_log_says_how_connections_ended)
{
    stopping_router all;
    all.all.writer1.faults.workMillis = 2000; // the stream's events need longer than a stop may take
    all.all.writer2.faults.workMillis = 2000;
    socket_caller idle;
    cr_assert(idle.connect(all.gateway()));
    cr_assert(idle.send(lookRequest("idle")));
    assertTruthful(idle.readAnswer(), "before the stop");
    socket_caller cut;
    cr_assert(cut.connect(all.gateway()));
    cr_assert(cut.send(streamRequest("cut")));
    all.terminate();
    cr_assert_eq(idle.readAnswer().end, answer_end::Ended);
    cr_assert_neq(cut.readAnswer().end, answer_end::Whole);
    all.assertEnds();
    const std::string line = logLine(all.router, "daemon_stopped");
    cr_assert_neq(line.find("\"closed_idle\":1"), std::string::npos, "%s", line.c_str());
    cr_assert_neq(line.find("\"cut_requests\":1"), std::string::npos, "%s", line.c_str());
}

// Further signals neither end a stop nor shorten it.
Test(process_stops, signals_during_a_stop_change_nothing)
{
    stopping_router all;
    all.all.writer1.faults.workMillis = 500;
    all.all.writer2.faults.workMillis = 500;
    socket_caller caller;
    cr_assert(caller.connect(all.gateway()));
    cr_assert(caller.send(streamRequest("stream")));
    std::this_thread::sleep_for(100ms);
    all.terminate();
    all.router.hangUp();
    all.router.terminate();
    std::this_thread::sleep_for(1s);
    all.router.hangUp();
    all.router.terminate();
    const socket_answer answer = caller.readAnswer();
    cr_assert(answer.isWhole() && answer.status == 200, "%s", answer.text().c_str());
    all.assertEnds();
}
