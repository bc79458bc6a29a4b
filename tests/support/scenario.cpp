// Reading and running scenarios.
#include "support/scenario.h"

#include "chicoryrouter/units.h"
#include "support/world.h"

#include <map>
#include <sstream>
#include <stdexcept>

namespace chicoryrouter::test {

namespace {

const std::map<std::string, endpoint_fault> faultNames = {
    {"none", endpoint_fault::None},
    {"down", endpoint_fault::Down},
    {"refusing", endpoint_fault::Refusing},
    {"failing", endpoint_fault::Failing},
    {"silent", endpoint_fault::Silent},
    {"cutting", endpoint_fault::Cutting},
    {"crossed", endpoint_fault::Crossed},
    {"doubling", endpoint_fault::Doubling},
    {"gapping", endpoint_fault::Gapping},
    {"slow", endpoint_fault::Slow},
    {"ending-early", endpoint_fault::EndingEarly},
};

class scenario
{
public:
    scenario_result run(const std::string &text)
    {
        std::istringstream lines(text);
        std::string line;
        while (std::getline(lines, line)) {
            ++m_line;
            readLine(line.substr(0, line.find('#')));
        }
        build().runUntil(worldStart + m_end);
        return result();
    }

private:
    using words = std::vector<std::string>;

    [[noreturn]] void fail(const std::string &text) const { throw std::runtime_error("line " + std::to_string(m_line) + ": " + text); }

    void readLine(const std::string &line)
    {
        std::istringstream stream(line);
        words parts;
        for (std::string word; stream >> word;) {
            parts.push_back(word);
        }
        if (parts.empty()) {
            return;
        }
        if (parts[0] == "nodes") {
            m_nodes = number(parts, 1);
        } else if (parts[0] == "seed") {
            m_seed = number(parts, 1);
        } else if (parts[0] == "engine" || parts[0] == "shop") {
            build().addEndpoint(word(parts, 1), word(parts, 2), parts[0] == "engine" ? "writer" : "shop");
        } else if (parts[0] == "end") {
            m_end = span(parts, 1);
        } else if (parts[0] == "at") {
            const duration when = span(parts, 1);
            const words step(parts.begin() + 2, parts.end());
            build().at(worldStart + when, [this, step, line = m_line] {
                m_line = line;
                runStep(step);
            });
        } else {
            fail("'" + parts[0] + "' is no step");
        }
    }

    world &build()
    {
        if (m_world == nullptr) {
            m_world = std::make_unique<world>(worldDocument(), m_nodes, m_seed);
        }
        return *m_world;
    }

    void runStep(const words &step)
    {
        const std::string name = word(step, 0);
        if (name == "ask") {
            m_world->ask(word(step, 1), word(step, 2), number(option(step, "tokens", "1")), number(option(step, "node", "1")) - 1, option(step, "key", ""),
                option(step, "body", ""));
        } else if (name == "caller-leaves") {
            m_world->leaveCaller(word(step, 1));
        } else if (name == "fault") {
            const auto fault = faultNames.find(word(step, 2));
            if (fault == faultNames.end()) {
                fail("'" + word(step, 2) + "' is no fault");
            }
            m_world->setFault(word(step, 1), fault->second);
        } else if (name == "crash") {
            m_world->crash(word(step, 1));
        } else if (name == "notice") {
            m_world->notice(word(step, 1), span(option(step, "within", "10s")));
        } else if (name == "notice-domain") {
            m_world->noticeDomain(word(step, 1), span(option(step, "within", "10s")));
        } else if (name == "kill-node") {
            m_world->killNode(number(step, 1) - 1);
        } else if (name == "cold") {
            m_world->turnCold(word(step, 1));
        } else if (name == "store") {
            changeStore(step);
        } else if (name == "expect") {
            expect(step);
        } else {
            fail("'" + name + "' is no step");
        }
    }

    void changeStore(const words &step)
    {
        const std::string what = word(step, 1);
        if (what == "down" || what == "up") {
            m_world->store.down = what == "down";
        } else if (what == "lose") {
            m_world->store.loseReplies = static_cast<int>(number(step, 2));
        } else if (what == "delay") {
            m_world->store.delay = span(step, 2);
        } else {
            fail("'" + what + "' is nothing a store does");
        }
    }

    void expect(const words &step)
    {
        const std::string id = word(step, 1);
        const std::string what = word(step, 2);
        bool good = false;
        if (what == "sends-at-most") {
            good = m_world->endpoint(id).sends <= number(step, 3);
        } else {
            const world_request &request = m_world->request(id);
            if (what == "answered") {
                good = request.answered;
            } else if (what == "replayed") {
                good = request.replayed;
            } else if (what == "open") {
                good = request.ends == 0;
            } else if (what == "failed") {
                good = request.failure != error_kind::Count && responseFor(request.failure).name == word(step, 3);
            } else if (what == "runs") {
                good = request.runs == static_cast<int>(number(step, 3));
            } else {
                fail("'" + what + "' is nothing to expect");
            }
        }
        if (!good) {
            m_faults += "line " + std::to_string(m_line) + ": expected " + id + " " + what + (step.size() > 3 ? " " + step[3] : "") + "\n";
        }
    }

    scenario_result result() const
    {
        scenario_result out;
        out.faults = m_faults;
        for (const std::string &line : m_world->transcript()) {
            out.transcript += line + "\n";
        }
        for (const std::string &line : m_world->faults()) {
            out.faults += "broken: " + line + "\n";
        }
        out.transcript += "recomputed " + std::to_string(m_world->recomputed()) + " tokens\n" + out.faults;
        out.good = out.faults.empty();
        return out;
    }

    std::string word(const words &parts, std::size_t index) const
    {
        if (index >= parts.size()) {
            fail("something is missing at the end");
        }
        return parts[index];
    }

    std::string option(const words &parts, const std::string &name, const std::string &fallback) const
    {
        for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
            if (parts[i] == name) {
                return parts[i + 1];
            }
        }
        return fallback;
    }

    duration span(const std::string &text) const
    {
        const std::optional<duration> parsed = parseDuration(text);
        if (!parsed) {
            fail("'" + text + "' is no time with a unit");
        }
        return *parsed;
    }

    duration span(const words &parts, std::size_t index) const { return span(word(parts, index)); }

    std::uint32_t number(const std::string &text) const
    {
        if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos) {
            fail("'" + text + "' is no number");
        }
        return static_cast<std::uint32_t>(std::stoul(text));
    }

    std::uint32_t number(const words &parts, std::size_t index) const { return number(word(parts, index)); }

    std::unique_ptr<world> m_world;
    std::size_t m_nodes = 1;
    std::uint64_t m_seed = 1;
    duration m_end = std::chrono::minutes(20);
    int m_line = 0;
    std::string m_faults;
};

} // namespace

scenario_result runScenario(const std::string &text)
{
    return scenario().run(text);
}

} // namespace chicoryrouter::test
