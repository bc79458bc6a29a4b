// The log's lines: the table, the page printed from it, and the bound on lines of one kind.
#include "shell/log.h"
#include "shell/metrics.h"
#include "shell/request_history.h"
#include "support/files.h"
#include "test_paths.h"

#include "chicoryrouter/units.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>
#include <thread>

#include <unistd.h>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

using test::readFile;

std::vector<nlohmann::json> readLines(const std::string &path)
{
    std::vector<nlohmann::json> lines;
    std::istringstream text(readFile(path));
    for (std::string line; std::getline(text, line);) {
        lines.push_back(nlohmann::json::parse(line));
    }
    return lines;
}

} // namespace

Test(logs, the_page_of_log_lines_is_the_table)
{
    cr_assert(readFile(CHICORY_SOURCE_DIR "/docs/LOGS.md") == logEventsDocument(), "print it again: build/chicoryrouterd --list-events > docs/LOGS.md");
}

Test(logs, every_kind_has_a_name_of_its_own)
{
    std::set<std::string_view> names;
    for (const log_event_row &row : logEvents()) {
        cr_assert(names.insert(row.name).second, "%s stands twice", std::string(row.name).c_str());
        cr_assert(!row.text.empty() && !row.fields.empty());
    }
}

Test(logs, a_line_is_one_json_object_whatever_its_texts_hold)
{
    const std::string path = "/tmp/chicory-logs-test-" + std::to_string(getpid());
    startLog("info", path);
    logRequestEvent(log_event::RequestFailed, "r\"1\n\xff", {{"error", "a\tb"}, {"pieces", 3U}, {"held", true}, {"part", 0.5}});
    logEvent(log_event::StoreCallFailed, {{"call", std::string(100'000, 'x')}});
    stopLog();
    const std::vector<nlohmann::json> lines = readLines(path);
    std::remove(path.c_str());
    cr_assert_eq(lines.size(), 2);
    cr_assert(lines[0].at("event") == "request_failed" && lines[0].at("pieces") == 3 && lines[0].at("held") == true);
    cr_assert(lines[0].at("text") == "[request] failed" && lines[0].at("at").get<std::string>().size() == 24);
    cr_assert_leq(lines[1].at("call").get<std::string>().size(), 2000);
}

Test(logs, what_goes_over_a_kinds_lines_is_counted_and_said)
{
    const std::string path = "/tmp/chicory-logs-bound-" + std::to_string(getpid());
    startLog("info", path, 10);
    for (int i = 0; i < 5000; ++i) {
        logEvent(log_event::RequestWaits, {{"request", std::to_string(i)}});
    }
    logEvent(log_event::RequestFailed, {{"request", "another kind"}});
    std::this_thread::sleep_for(1100ms); // the next second tells of the one before
    logEvent(log_event::RequestWaits, {{"request", "later"}});
    stopLog();
    std::size_t said = 0;
    std::size_t written = 0;
    for (const nlohmann::json &line : readLines(path)) {
        written += line.at("event") == "request_waits" ? 1 : 0;
        said += line.at("event") == "lines_left_out" ? line.at("lines").get<std::size_t>() : 0;
    }
    std::remove(path.c_str());
    cr_assert_eq(written + said, 5001);
    cr_assert_leq(written, 31, "ten in each of the seconds the loop may have touched, and the last");
    cr_assert_eq(suppressedLogLines(), said);
}

Test(logs, a_level_can_be_changed_while_the_process_runs)
{
    const std::string path = "/tmp/chicory-logs-level-" + std::to_string(getpid());
    startLog("error", path);
    cr_assert_not(isLogged(log_event::RequestWaits));
    setLogLevel("info");
    cr_assert(isLogged(log_event::RequestWaits));
    stopLog();
    std::remove(path.c_str());
}

Test(logs, a_requests_story_is_told_from_a_saved_log_with_what_was_believed_meanwhile)
{
    std::istringstream log("  1.0 node-1 {\"at\":\"t0\",\"event\":\"endpoint_use\",\"text\":\"[load] before\",\"endpoint\":\"e1\"}\n"
                           "garbage\n{broken\n"
                           "  1.1 node-1 {\"at\":\"t1\",\"event\":\"request_placed\",\"text\":\"[route] has a place\",\"request\":\"r1\",\"endpoint\":\"e1\"}\n"
                           "  1.2 node-1 {\"at\":\"t2\",\"event\":\"endpoint_use\",\"text\":\"[load] changed\",\"endpoint\":\"e1\",\"use\":\"set aside\"}\n"
                           "  1.2 node-1 {\"at\":\"t2\",\"event\":\"endpoint_use\",\"text\":\"[load] changed\",\"endpoint\":\"e2\"}\n"
                           "  1.3 node-1 {\"at\":\"t3\",\"event\":\"request_placed\",\"text\":\"[route] has a place\",\"request\":\"r2\",\"endpoint\":\"e1\"}\n"
                           "{\"at\":\"t4\",\"event\":\"request_failed\",\"text\":\"[request] failed\",\"request\":\"r1\",\"pieces\":3}\n");
    const std::vector<std::string> story = requestHistory(log, "r1");
    cr_assert_eq(story.size(), 3);
    cr_assert(story[0] == "  t1 [route] has a place endpoint=e1", "%s", story[0].c_str());
    cr_assert(story[1] == "~ t2 [load] changed endpoint=e1 use=set aside", "%s", story[1].c_str());
    cr_assert(story[2] == "  t4 [request] failed pieces=3", "%s", story[2].c_str());
    std::istringstream again("nothing\n");
    cr_assert(requestHistory(again, "r1").empty());
}

Test(logs, histograms_are_cumulative_and_end_at_their_count)
{
    metrics counts;
    for (const duration span : {duration(1ms), duration(15ms), duration(40ms), duration(90s)}) {
        counts.observe(latency::FirstToken, "chat", span);
    }
    counts.countOutcome("chat", "answered");
    const std::string text = counts.text();
    const std::string label = "chicoryrouter_first_token_seconds_bucket{route=\"chat\",le=\"";
    cr_assert(text.find(label + "0.005\"} 1\n") != std::string::npos, "%s", text.c_str());
    cr_assert(text.find(label + "0.05\"} 3\n") != std::string::npos);
    cr_assert(text.find(label + "30\"} 3\n") != std::string::npos);
    cr_assert(text.find(label + "+Inf\"} 4\n") != std::string::npos);
    cr_assert(text.find("chicoryrouter_first_token_seconds_count{route=\"chat\"} 4\n") != std::string::npos);
    cr_assert(text.find("chicoryrouter_requests_total{route=\"chat\",end=\"answered\"} 1\n") != std::string::npos);
}
