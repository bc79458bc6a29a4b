// Test doubles for everything that a daemon talks to, as one process on loopback: key-value service, instance list and cloud API, engines
// (model endpoints) and plain services.
#include "programs/program.h"

#include "chicoryrouter/configuration.h"
#include "chicoryrouter/error.h"
#include "standin/platform_standin.h"

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_int32(store_port, 7001, "port of the key-value service");
DEFINE_int32(platform_port, 7002, "port of the instance list and cloud API");
DEFINE_string(document, "", "YAML document to put into the key-value service as revision 1 (default: none)");
DEFINE_string(engine, "", "comma-separated model endpoints to simulate, each ID:FAILURE_DOMAIN:SERVICE:VERSION");
DEFINE_string(plain, "", "comma-separated endpoints of plain services to simulate, in the same form");
DEFINE_string(entry, "", "comma-separated entry instances for the instance list, each NAME:FAILURE_DOMAIN:PEER_PORT");
DEFINE_int32(threads, 2, "number of worker threads");

namespace {

using namespace chicoryrouter;

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

instance_record readEndpoint(const std::string &text)
{
    const std::vector<std::string> parts = split(text, ':');
    if (parts.size() != 4) {
        throw error(error_kind::BadRequest, "'" + text + "' is not an endpoint of the form ID:FAILURE_DOMAIN:SERVICE:VERSION");
    }
    return {parts[0], parts[1], instance_class::Reclaimable, parts[2], parts[3], {}};
}

void addEntries(platform_standin &platform)
{
    for (const std::string &text : split(FLAGS_entry, ',')) {
        const std::vector<std::string> parts = split(text, ':');
        if (parts.size() != 3) {
            throw error(error_kind::BadRequest, "'" + text + "' is not an entry instance of the form NAME:FAILURE_DOMAIN:PEER_PORT");
        }
        platform.addEntry({parts[0], parts[1], {"127.0.0.1", static_cast<std::uint16_t>(std::stoi(parts[2]))}});
    }
}

void serve(const sigset_t &signals)
{
    worker_pool workers(static_cast<unsigned>(FLAGS_threads));
    store_standin store(workers, static_cast<std::uint16_t>(FLAGS_store_port));
    platform_standin platform(workers, static_cast<std::uint16_t>(FLAGS_platform_port));
    if (!FLAGS_document.empty()) {
        const std::ifstream file(FLAGS_document);
        std::ostringstream text;
        text << file.rdbuf();
        makeRevisioned(1, text.str());
        store.put(std::string(configurationKey), encodeEnvelope({1, text.str()}));
    }
    for (const std::string &text : split(FLAGS_engine, ',')) {
        platform.addEngine(readEndpoint(text));
    }
    for (const std::string &text : split(FLAGS_plain, ',')) {
        platform.addPlain(readEndpoint(text));
    }
    addEntries(platform);
    std::cout << "key-value service listens on port " << store.listenAddress().port << ", instance list on port " << platform.listenAddress().port << std::endl;
    waitForStop(signals);
    workers.stop();
}

} // namespace

int main(int argc, char **argv)
{
    startProgram(argc, argv,
        "simulates the platform and its endpoints for tests and trials; docs/STANDINS.md describes the protocols.\n"
        "  chicory-standin --document=examples/aspen-coulee.yaml --engine=e1:prairie-1:writer:v1\n"
        "Exit code: 0 stopped by a signal, 1 could not serve, 2 a flag or the document is invalid.");
    const sigset_t signals = blockStopSignals();
    try {
        serve(signals);
    } catch (const error &fault) {
        std::cerr << fault.what() << "\n";
        return exitUsage;
    } catch (const std::exception &fault) {
        std::cerr << "cannot serve: " << fault.what() << "\n";
        return exitFailure;
    }
    return exitSuccess;
}
