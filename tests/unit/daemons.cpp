// Real daemons and stand-ins on loopback: the shells under failure. What is decided is tested elsewhere under virtual time; here it is
// tested that the bytes follow the decisions. Waits are bounded generously, and no check depends on how fast anything was.
#include "standin/deployment.h"
#include "support/waiting.h"

#include "shell/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

#include <future>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

using test::patience;

deployment_options slowEngines(duration betweenTokens)
{
    deployment_options options;
    options.engine.betweenTokens = betweenTokens;
    return options;
}

http_call completionCall(const std::string &route, const std::string &prompt, unsigned tokens, bool stream = true)
{
    http_call call;
    call.method = "POST";
    call.target = "/v1/completions";
    call.headers = bearer(demoToken);
    call.body = json({{"model", route}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}}).dump();
    return call;
}

http_call attachCall(const std::string &id, std::size_t tokensHad)
{
    http_call call;
    call.target = "/v1/requests/" + id;
    call.headers = bearer(demoToken);
    if (tokensHad > 0) {
        call.headers.push_back({"Last-Event-ID", std::to_string(tokensHad - 1)});
    }
    return call;
}

http_call operatorCall(const std::string &method, const std::string &target, const std::string &body = "")
{
    http_call call;
    call.method = method;
    call.target = target;
    call.headers = bearer(demoOperatorToken);
    call.body = body;
    return call;
}

std::string kindOf(const http_response &response)
{
    const json body = json::parse(response.body, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"]["kind"].get<std::string>() : "no error body: " + response.body;
}

bool isWhole(const http_response &response, const std::string &prompt, unsigned tokens)
{
    return response.status == 200 && streamEnded(response.body) && streamedText(response.body) == standinAnswer(prompt, tokens);
}

std::size_t daemonsWithRevision(deployment &all, std::uint64_t revision)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < all.size(); ++i) {
        count += all.at(i).revisionInForce() == revision ? 1 : 0;
    }
    return count;
}

std::string withDomainOut(const std::string &yaml, const std::string &domain)
{
    std::string text = yaml;
    const std::string line = "{name: " + domain + ", region: prairie}";
    return text.replace(text.find(line), line.size(), "{name: " + domain + ", region: prairie, out: true}");
}

} // namespace

// ---- Bad input -------------------------------------------------------------------------------------------------------------------------

Test(daemons, bad_input_gets_its_error_kind)
{
    deployment all;
    cr_assert(all.waitReady());
    const address where = all.at(0).gateway();
    const auto send = [&](http_call call) {
        return kindOf(sync_client().call(where, std::move(call)));
    };

    http_call call = completionCall("chat", "p", 1);
    call.headers.clear();
    cr_expect_eq(send(call), "unknown_account");
    call.headers = bearer("nobody");
    cr_expect_eq(send(call), "unknown_account");
    cr_expect_eq(send(completionCall("no-such-model", "p", 1)), "unknown_route");
    call = completionCall("chat", "p", 1);
    call.body = "{\"model\": \"chat\", \"prompt\"";
    cr_expect_eq(send(call), "bad_request");
    call.body = R"({"model":"chat","prompt":"x","max_tokens":"many"})";
    cr_expect_eq(send(call), "bad_request");
    call.body = R"({"model":"chat","prompt":"x","max_tokens":0})";
    cr_expect_eq(send(call), "bad_request");
    call.body = R"({"model":"chat"})";
    cr_expect_eq(send(call), "bad_request");
    call.body = std::string(3 * 1024 * 1024, ' ');
    cr_expect_eq(send(call), "body_too_large");
    call = completionCall("chat", "p", 1);
    call.headers.push_back({"X-Long", std::string(20000, 'x')});
    cr_expect_eq(send(call), "header_too_large");
    call = completionCall("chat", "p", 1);
    call.target = "/nowhere";
    cr_expect_eq(send(call), "unknown_route");
    call.target = "/orders";
    cr_expect_eq(send(call), "key_required");
    cr_expect_eq(send(attachCall("nothing", 0)), "unknown_request");
    cr_expect_eq(kindOf(all.plain(0, "GET", "/operator/status")), "not_authorized");
    cr_expect(isWhole(all.completion(0, "chat", "still serves", 5), "still serves", 5));
}

Test(daemons, broken_http_is_answered_and_harms_nobody)
{
    deployment all;
    cr_assert(all.waitReady());
    boost::asio::io_context context;
    const address where = all.at(0).gateway();
    for (const std::string bytes :
        {"GARBAGE\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\nshort", "\0\0\0\0"}) {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address(where.ip), where.port});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
        std::string answer;
        boost::system::error_code code;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), code);
        cr_expect(answer.empty() || answer.find(" 400 ") != std::string::npos, "%s", answer.c_str());
    }
    cr_expect(isWhole(all.completion(0, "chat", "still serves", 5), "still serves", 5));
}

// ---- Engines that fail -----------------------------------------------------------------------------------------------------------------

Test(daemons, streams_are_whole_whatever_one_engine_does)
{
    deployment_options options;
    options.failureDomains = {"fd-1", "fd-2", "fd-3"};
    deployment all(options);
    cr_assert(all.waitReady());
    engine_standin &bad = all.engineAt(0);
    const std::string prompt = "a prompt long enough to have a prefix of its own" + std::string(300, '.');
    const auto check = [&](const char *what) {
        for (int i = 0; i < 4; ++i) {
            cr_expect(isWhole(all.completion(0, "chat", prompt, 30), prompt, 30), "%s", what);
        }
    };
    bad.faults.closeAfterTokens = 7;
    check("cut after 7 tokens");
    bad.faults.closeAfterTokens = -1;
    bad.faults.sendsForeignTokens = true;
    check("crossed");
    bad.faults.sendsForeignTokens = false;
    bad.faults.malformedAnswers = true;
    check("garbage");
    bad.faults.malformedAnswers = false;
    bad.faults.refuse = true;
    check("refuses");
    bad.faults.refuse = false;
    bad.faults.failPercent = 100;
    check("fails");
    bad.crash();
    check("crashed");
}

Test(daemons, a_reclaimed_engines_streams_move_and_are_whole_byte_for_byte)
{
    deployment all(slowEngines(10ms));
    cr_assert(all.waitReady());
    std::vector<std::future<http_response>> answers;
    for (int i = 0; i < 4; ++i) {
        answers.push_back(std::async(std::launch::async, [&all, i] { return all.completion(0, "chat", "stream " + std::to_string(i), 150); }));
    }
    std::this_thread::sleep_for(300ms);
    all.platform().reclaim(all.engineId(0), 1500ms);
    for (int i = 0; i < 4; ++i) {
        const http_response answer = answers[static_cast<std::size_t>(i)].get();
        cr_expect(isWhole(answer, "stream " + std::to_string(i), 150), "stream %d: %d\n%s", i, answer.status, answer.body.c_str());
    }
    const std::uint64_t recomputed = all.engineAt(0).recomputedTokens() + all.engineAt(1).recomputedTokens();
    cr_expect_eq(recomputed, 0, "KV caches had time to move; %lu tokens were computed again", static_cast<unsigned long>(recomputed));
}

Test(daemons, a_caller_who_leaves_frees_the_engine)
{
    deployment all(slowEngines(20ms));
    cr_assert(all.waitReady());
    sync_client().callAllowingPartial(all.at(0).gateway(), completionCall("chat", "left", 2000), 500);
    cr_expect(all.waitUntil([&] { return all.at(0).openRequests() == 0; }, patience));
    const auto idle = [&] {
        const json status = json::parse(all.at(0).statusJson());
        for (const json &item : status["endpoints"]) {
            if (item["in_flight"] != 0) {
                return false;
            }
        }
        return true;
    };
    cr_expect(all.waitUntil(idle, patience));
}

Test(daemons, a_slow_reader_does_not_grow_memory_and_gets_everything)
{
    deployment_options options;
    options.engine.betweenTokens = 0us;
    options.engine.tokensPerWrite = 64;
    deployment all(options);
    cr_assert(all.waitReady());
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    const address where = all.at(0).gateway();
    socket.open(boost::asio::ip::tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    socket.connect({boost::asio::ip::make_address(where.ip), where.port});
    const std::string body = completionCall("chat", "slow", 30000).body;
    const std::string head = "POST /v1/completions HTTP/1.1\r\nConnection: close\r\nAuthorization: Bearer " + std::string(demoToken)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(head + body));
    std::this_thread::sleep_for(1s);
    std::uint64_t tokens = 0;
    const std::string text = all.at(0).metricsText();
    const std::string name = "chicoryrouter_tokens_total ";
    tokens = std::stoull(text.substr(text.find(name) + name.size()));
    const std::string kept = "chicoryrouter_kept_answer_bytes ";
    cr_expect_gt(std::stod(text.substr(text.find(kept) + kept.size())), 0.0, "an answer in progress isn't counted");
    cr_expect_lt(tokens, 29000, "%lu tokens were taken from the engine although nobody reads", static_cast<unsigned long>(tokens));
    std::string answer;
    boost::system::error_code code;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), code);
    cr_expect(answer.find("[DONE]") != std::string::npos);
    cr_expect(answer.find("id: 29999\n") != std::string::npos);
    cr_expect(test::eventually([&] { return all.at(0).metricsText().find("chicoryrouter_kept_answer_bytes 0\n") != std::string::npos; }),
        "an answer that has ended still counts among those in progress");
}

// ---- Calls that run at most once -------------------------------------------------------------------------------------------------------

Test(daemons, racing_orders_with_one_key_run_once)
{
    deployment all;
    cr_assert(all.waitReady());
    all.plainAt(0).faults.slowMillis = 50;
    all.plainAt(1).faults.slowMillis = 50;
    std::vector<std::future<http_response>> answers;
    for (std::size_t i = 0; i < 8; ++i) {
        answers.push_back(std::async(std::launch::async, [&all, i] { return all.plain(i % 2, "POST", "/orders", "one-key", "same"); }));
    }
    for (auto &answer : answers) {
        const http_response got = answer.get();
        cr_expect(got.status == 200 || kindOf(got) == "claimed_elsewhere", "%d %s", got.status, got.body.c_str());
    }
    cr_expect_eq(all.plainAt(0).ordersRun() + all.plainAt(1).ordersRun(), 1);
}

Test(daemons, orders_under_store_and_shop_faults_never_run_twice_and_refusals_are_true)
{
    deployment all;
    cr_assert(all.waitReady());
    const auto ordersRun = [&] {
        return all.plainAt(0).ordersRun() + all.plainAt(1).ordersRun();
    };

    all.store().faults.loseReplies = 1;
    cr_expect_eq(all.plain(0, "POST", "/orders", "k1", "b").status, 200, "the claim took effect although its reply was lost");
    cr_expect_eq(ordersRun(), 1);

    all.plainAt(0).faults.cutAfterRunning = true;
    all.plainAt(1).faults.cutAfterRunning = true;
    const http_response cut = all.plain(0, "POST", "/orders", "k2", "b");
    cr_expect_eq(json::parse(cut.body)["error"]["ran"], "unknown");
    all.plainAt(0).faults.cutAfterRunning = false;
    all.plainAt(1).faults.cutAfterRunning = false;
    cr_expect_neq(all.plain(1, "POST", "/orders", "k2", "b").status, 200, "it may have run: not again");
    cr_expect_eq(ordersRun(), 2);

    all.plainAt(0).faults.refuse = true;
    all.plainAt(1).faults.refuse = true;
    const http_response refused = all.plain(0, "POST", "/orders", "k3", "b");
    cr_expect_eq(json::parse(refused.body)["error"]["ran"], "no", "%s", refused.body.c_str());
    cr_expect_eq(ordersRun(), 2);
    all.plainAt(0).faults.refuse = false;
    all.plainAt(1).faults.refuse = false;
    cr_expect(all.waitUntil([&] { return all.plain(1, "POST", "/orders", "k3", "b").status == 200; }, patience), "the key is free again");

    all.store().faults.down = true;
    const http_response down = all.plain(0, "POST", "/orders", "k4", "b");
    cr_expect_eq(kindOf(down), "platform_unavailable");
    cr_expect_eq(json::parse(down.body)["error"]["ran"], "no");
    cr_expect_eq(ordersRun(), 3);
    cr_expect_eq(all.plain(0, "GET", "/stock/x").status, 200, "lookups need no store");
    cr_expect_leq(all.plainAt(0).maxRunsPerKey(), 1);
    cr_expect_leq(all.plainAt(1).maxRunsPerKey(), 1);
}

// ---- Entry instances -------------------------------------------------------------------------------------------------------------------

Test(daemons, a_must_finish_request_survives_the_death_of_its_entry_instance)
{
    deployment_options options = slowEngines(10ms);
    options.daemons = 3;
    deployment all(options);
    cr_assert(all.waitReady());
    const std::string prompt = "a long pattern";
    auto cut = std::async(std::launch::async, [&] { return sync_client().callAllowingPartial(all.at(0).gateway(), completionCall("write-up", prompt, 200)); });
    std::this_thread::sleep_for(600ms);
    all.at(0).crash();
    const auto first = cut.get();
    cr_assert_not(first.complete);
    const std::string id(findHeader(first.response.headers, "X-Request-Id"));
    const std::size_t had = streamedTokens(first.response.body);
    cr_assert(had > 0 && had < 200, "%zu tokens before the death", had);
    std::string text = streamedText(first.response.body);
    http_response rest;
    const auto attached = [&] {
        rest = sync_client().callAllowingPartial(all.at(1).gateway(), attachCall(id, had)).response;
        return rest.status == 200 && streamEnded(rest.body);
    };
    cr_assert(all.waitUntil(attached, patience), "%d %s", rest.status, rest.body.c_str());
    cr_assert_eq(text + streamedText(rest.body), standinAnswer(prompt, 200), "byte for byte over both connections");
}

Test(daemons, a_planned_stop_cuts_nothing)
{
    deployment all(slowEngines(10ms));
    cr_assert(all.waitReady());
    auto chat = std::async(std::launch::async, [&] { return all.completion(0, "chat", "short one", 60); });
    auto longOne = std::async(std::launch::async, [&] { return all.completion(0, "write-up", "long one", 400); });
    auto whole = std::async(std::launch::async, [&] { return all.completion(0, "chat", "not streamed", 300, false); });
    std::this_thread::sleep_for(300ms);
    all.at(0).stop();
    cr_expect(isWhole(chat.get(), "short one", 60));
    cr_expect(isWhole(longOne.get(), "long one", 400));
    const http_response answer = whole.get();
    cr_expect_eq(json::parse(answer.body)["choices"][0]["text"].get<std::string>(), standinAnswer("not streamed", 300));
}

Test(daemons, a_stop_with_little_time_hands_over_and_callers_read_on)
{
    deployment_options options = slowEngines(10ms);
    options.stopWithin = 2s;
    deployment all(options);
    cr_assert(all.waitReady());
    auto first
        = std::async(std::launch::async, [&] { return sync_client().callAllowingPartial(all.at(0).gateway(), completionCall("write-up", "long", 600)); });
    std::this_thread::sleep_for(300ms);
    all.at(0).stop();
    const auto cut = first.get();
    const std::string id(findHeader(cut.response.headers, "X-Request-Id"));
    const std::size_t had = streamedTokens(cut.response.body);
    std::string text = streamedText(cut.response.body);
    if (!cut.complete) {
        const http_response rest = sync_client().callAllowingPartial(all.at(1).gateway(), attachCall(id, had)).response;
        text += streamedText(rest.body);
    }
    cr_expect_eq(text, standinAnswer("long", 600));
}

Test(daemons, a_caller_attached_at_a_stopping_instance_reads_on_after_the_handover)
{
    deployment_options options = slowEngines(10ms);
    options.handOverAfter = 1s; // the stream lasts six seconds or more: it is handed over on any machine
    options.stopWithin = 60s;   // and nothing but a fault keeps it from ending in this time
    deployment all(options);
    cr_assert(all.waitReady());
    const auto left = sync_client().callAllowingPartial(all.at(0).gateway(), completionCall("write-up", "attached", 600), 300);
    const std::string id(findHeader(left.response.headers, "X-Request-Id"));
    auto attached = std::async(std::launch::async, [&] { return sync_client().callAllowingPartial(all.at(0).gateway(), attachCall(id, 0)).response; });
    std::this_thread::sleep_for(200ms);
    all.at(0).stop();
    const http_response answer = attached.get();
    cr_expect(isWhole(answer, "attached", 600), "%zu tokens, ended: %d", streamedTokens(answer.body), streamEnded(answer.body) ? 1 : 0);
}

Test(daemons, a_stopping_instance_refuses_truthfully_and_says_it_is_not_ready)
{
    deployment all(slowEngines(10ms));
    cr_assert(all.waitReady());
    auto open = std::async(std::launch::async, [&] { return all.completion(0, "chat", "open", 200); });
    std::this_thread::sleep_for(200ms);
    auto stopping = std::async(std::launch::async, [&] { all.at(0).stop(); });
    std::this_thread::sleep_for(200ms);
    http_call ready;
    ready.target = "/readyz";
    cr_expect_eq(sync_client().call(all.at(0).gateway(), ready).status, 503);
    cr_expect_eq(kindOf(all.completion(0, "chat", "new", 5)), "shutting_down");
    cr_expect(isWhole(open.get(), "open", 200));
    stopping.get();
}

// A request that still waits for a slot when a daemon without peers ends is refused, and does not lose its connection without an answer.
Test(daemons, a_stop_refuses_a_request_that_waits_for_a_slot)
{
    deployment_options options = slowEngines(20ms);
    options.daemons = 1;
    options.failureDomains = {"fd-1"};
    options.initialConcurrency = 1;
    options.maxConcurrency = 1;
    options.stopWithin = 4s;
    deployment all(options);
    cr_assert(all.waitReady());
    const auto ask = [&all](const std::string &prompt) {
        return std::async(
            std::launch::async, [&all, prompt] { return sync_client().callAllowingPartial(all.at(0).gateway(), completionCall("chat", prompt, 600)); });
    };
    auto served = ask("served");
    cr_assert(all.waitUntil([&] { return all.engineAt(0).generationsStarted() == 1; }, 10s));
    auto waiting = ask("waiting");
    cr_assert(all.waitUntil([&] { return all.at(0).openRequests() == 2; }, 10s));
    all.at(0).stop();
    const sync_client::partial_response refused = waiting.get();
    cr_assert(refused.complete, "its connection was closed without an answer");
    cr_expect_eq(refused.response.status, 503);
    cr_expect_eq(kindOf(refused.response), "shutting_down");
    cr_expect_eq(all.engineAt(0).generationsStarted(), 1);
    served.get();
}

// The claim of an order can't be written in time: the order is refused when the daemon ends, and has not run.
Test(daemons, a_stop_refuses_an_order_that_waits_for_its_claim)
{
    deployment_options options;
    options.daemons = 1;
    options.failureDomains = {"fd-1"};
    options.stopWithin = 2s; // the order may wait longer than that
    deployment all(options);
    cr_assert(all.waitReady());
    all.store().faults.slowMillis = 60000;
    auto order = std::async(std::launch::async, [&] { return all.plain(0, "POST", "/orders", "a-key", "one"); });
    cr_assert(all.waitUntil([&] { return all.at(0).openRequests() == 1; }, 10s));
    all.at(0).stop();
    const http_response refused = order.get(); // throws if the connection was closed without an answer
    cr_expect_eq(refused.status, 503);
    cr_expect_eq(kindOf(refused), "shutting_down");
    cr_expect_eq(all.plainAt(0).ordersRun(), 0);
}

// ---- Configuration and failure domains -------------------------------------------------------------------------------------------------

Test(daemons, an_accepted_configuration_is_in_force_everywhere_and_a_stale_one_changes_nothing)
{
    deployment_options options;
    options.daemons = 5;
    deployment all(options);
    cr_assert(all.waitReady());
    const std::string fresh = withDomainOut(deploymentDocument(options), "fd-2");
    const http_response taken = sync_client().call(all.at(0).gateway(), operatorCall("PUT", "/operator/document?expect-revision=1", fresh));
    cr_assert_eq(taken.status, 200, "%s", taken.body.c_str());
    cr_expect(all.waitUntil([&] { return daemonsWithRevision(all, 2) == 5; }, 10s), "%zu of 5", daemonsWithRevision(all, 2));

    const http_response stale = sync_client().call(all.at(1).gateway(), operatorCall("PUT", "/operator/document?expect-revision=1", fresh));
    cr_expect_eq(kindOf(stale), "stale_revision");
    const http_response invalid = sync_client().call(all.at(1).gateway(), operatorCall("PUT", "/operator/document?expect-revision=2", "services: 5"));
    cr_expect_eq(kindOf(invalid), "invalid_document");
    cr_expect_eq(daemonsWithRevision(all, 2), 5);

    std::vector<std::future<http_response>> racing;
    for (std::size_t i = 0; i < 4; ++i) {
        racing.push_back(std::async(std::launch::async, [&, i] {
            return sync_client().call(all.at(i).gateway(), operatorCall("PUT", "/operator/document?expect-revision=2", deploymentDocument(options)));
        }));
    }
    int won = 0;
    for (auto &answer : racing) {
        won += answer.get().status == 200 ? 1 : 0;
    }
    cr_expect_eq(won, 1, "%d operators won the race", won);
}

Test(daemons, a_domain_taken_out_gets_no_new_work_and_comes_back)
{
    deployment_options options;
    deployment all(options);
    cr_assert(all.waitReady());
    all.replaceDocument(withDomainOut(deploymentDocument(options), "fd-1"));
    cr_assert(all.waitUntil([&] { return daemonsWithRevision(all, 2) == 2; }, 3s), "not in force within 3 s");
    const std::uint64_t before = all.engineAt(0).generationsStarted();
    for (int i = 0; i < 10; ++i) {
        cr_expect(isWhole(all.completion(0, "chat", "elsewhere", 5), "elsewhere", 5));
    }
    cr_expect_eq(all.engineAt(0).generationsStarted(), before);
    all.replaceDocument(deploymentDocument(options));
    cr_assert(all.waitUntil([&] { return daemonsWithRevision(all, 3) == 2; }, patience));
    const auto back = [&] {
        all.completion(0, "chat", "back", 2);
        return all.engineAt(0).generationsStarted() > before;
    };
    cr_expect(all.waitUntil(back, patience));
}

Test(daemons, without_store_and_list_everything_but_claims_goes_on_and_a_new_instance_learns_from_peers)
{
    deployment all;
    cr_assert(all.waitReady());
    all.store().faults.down = true;
    chicoryrouter::daemon &fresh = all.addDaemon();
    cr_expect(all.waitUntil([&] { return fresh.revisionInForce() == 1; }, patience), "the new instance has no document");
    all.platform().faults.down = true;
    for (int i = 0; i < 3; ++i) {
        cr_expect(isWhole(all.completion(static_cast<std::size_t>(i), "chat", "cut off", 10), "cut off", 10));
    }
}

// ---- Version moves ---------------------------------------------------------------------------------------------------------------------

Test(daemons, a_version_that_fails_at_once_is_condemned_and_its_verdict_recorded)
{
    deployment_options options;
    options.engine.betweenTokens = 0us;
    options.engine.prefillDelay = 1ms;
    options.versionMove = "{service: writer, from: v1, to: v2, start_at: 2026-01-01T00:00:00Z, done_by: 2099-01-01T00:00:00Z}";
    deployment all(options);
    engine_standin &bad = all.platform().addEngine({"new-1", "fd-1", instance_class::Reclaimable, "writer", "v2", {}, {}});
    bad.faults.failPercent = 100;
    cr_assert(all.waitReady());
    const auto moveState = [&](std::size_t index) {
        return json::parse(all.at(index).statusJson())["moves"][0]["state"].get<std::string>();
    };
    const time_point giveUpAt = systemNow() + patience * 2;
    while (moveState(0) != "taken_back" && systemNow() < giveUpAt) {
        cr_expect(isWhole(all.completion(0, "chat", "during the move", 3), "during the move", 3));
    }
    cr_assert_eq(moveState(0), "taken_back");
    cr_expect(all.waitUntil([&] { return moveState(1) == "taken_back"; }, patience));
    const std::uint64_t before = bad.generationsStarted();
    for (int i = 0; i < 50; ++i) {
        all.completion(0, "chat", "after the move", 2);
    }
    cr_expect_eq(bad.generationsStarted(), before, "none after the badness showed");
}
