// The stage of the scripted cases: a stand-in for the platform (store and cloud), HTTP servers and clients on plain sockets, the daemon as a
// separate process, and the record of what was sent, answered and run. Blocking calls and one thread per connection, so that a case reads as
// the order of events that it plays.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace stage {

using nlohmann::json;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr int heldExit = 0;
constexpr int brokenExit = 1;
constexpr int notRunExit = 2;

[[noreturn]] void cannotRun(const std::string &why);

inline void sleepFor(std::chrono::milliseconds span)
{
    std::this_thread::sleep_for(span);
}

// ---- Record ----------------------------------------------------------------------------------------------------------------------------

// record.txt: one line for each thing that clients, endpoints or the platform saw, with the time since the start.
class record_file
{
public:
    explicit record_file(const std::string &path)
        : m_file(path)
    {
    }

    void line(const std::string &text)
    {
        const std::lock_guard guard(m_lock);
        const double seconds = std::chrono::duration<double>(steady::now() - m_start).count();
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f  ", seconds);
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_lock;
    std::ofstream m_file;
    steady::time_point m_start = steady::now();
};

// ---- Sockets ---------------------------------------------------------------------------------------------------------------------------

class connection
{
public:
    explicit connection(int handle)
        : m_handle(handle)
    {
        const int on = 1;
        setsockopt(m_handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~connection() { close(); }
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    bool send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t got = ::send(m_handle, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (got <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(got);
        }
        return true;
    }

    // Appends what arrives to `buffer`. False: the end of the connection, a reset, or the time is over.
    bool receive(std::string &buffer, std::optional<steady::time_point> until = {})
    {
        if (until) {
            const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*until - steady::now()).count();
            pollfd wanted{m_handle, POLLIN, 0};
            if (left <= 0 || ::poll(&wanted, 1, static_cast<int>(left)) <= 0) {
                timedOut = true;
                return false;
            }
        }
        char bytes[16384];
        const ssize_t got = ::recv(m_handle, bytes, sizeof(bytes), 0);
        wasReset = got < 0;
        if (got <= 0) {
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    // Whether the other side has closed, without waiting.
    bool isClosed()
    {
        char byte = 0;
        const ssize_t got = ::recv(m_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    void shutDown() { ::shutdown(m_handle, SHUT_RDWR); }

    void close()
    {
        if (m_handle >= 0) {
            ::close(m_handle);
            m_handle = -1;
        }
    }

    bool timedOut = false;
    bool wasReset = false;

private:
    int m_handle;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    place.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return place;
}

// A port that is free for TCP and UDP at this moment. Each is given out once, and all lie below the range from which the system takes ports for
// outgoing connections: one of these could get the port before a daemon does.
inline int freePort()
{
    constexpr int firstPort = 12000;
    constexpr int lastPort = 32000;
    static std::mutex lock;
    const std::lock_guard guard(lock);
    static int next = firstPort + ::getpid() * 61 % (lastPort - firstPort);
    for (int i = firstPort; i < lastPort; ++i) {
        next = next + 1 < lastPort ? next + 1 : firstPort;
        const int tcp = ::socket(AF_INET, SOCK_STREAM, 0);
        const int udp = ::socket(AF_INET, SOCK_DGRAM, 0);
        const sockaddr_in place = loopback(next);
        const bool free = ::bind(tcp, reinterpret_cast<const sockaddr *>(&place), sizeof(place)) == 0
            && ::bind(udp, reinterpret_cast<const sockaddr *>(&place), sizeof(place)) == 0;
        ::close(tcp);
        ::close(udp);
        if (free) {
            return next;
        }
    }
    cannotRun("no free port");
}

inline std::unique_ptr<connection> connectTo(int port)
{
    const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (handle < 0) {
        return nullptr;
    }
    const sockaddr_in place = loopback(port);
    if (::connect(handle, reinterpret_cast<const sockaddr *>(&place), sizeof(place)) != 0) {
        ::close(handle);
        return nullptr;
    }
    return std::make_unique<connection>(handle);
}

// ---- HTTP ------------------------------------------------------------------------------------------------------------------------------

struct message
{
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool complete = false;

    [[nodiscard]] std::string header(const std::string &name) const
    {
        for (const auto &[key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    [[nodiscard]] std::string word(int index) const
    {
        std::istringstream words(firstLine);
        std::string result;
        for (int i = 0; i <= index; ++i) {
            result.clear();
            words >> result;
        }
        return result;
    }
    [[nodiscard]] std::string method() const { return word(0); }
    [[nodiscard]] std::string target() const { return word(1); }
    [[nodiscard]] std::string path() const { return target().substr(0, target().find('?')); }
    [[nodiscard]] int status() const { return std::atoi(word(1).c_str()); }
    [[nodiscard]] std::string parameter(const std::string &name) const
    {
        const std::string all = target();
        const auto mark = all.find('?');
        std::istringstream parts(mark == std::string::npos ? std::string() : all.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            if (part.rfind(name + "=", 0) == 0) {
                return part.substr(name.size() + 1);
            }
        }
        return {};
    }
};

inline std::string percentDecoded(const std::string &text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool coded = text[i] == '%' && i + 2 < text.size();
        plain += coded ? static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)) : text[i];
        i += coded ? 2 : 0;
    }
    return plain;
}

// Reads one request or answer, with a length, in chunks, or (answers only) up to the end of the connection. `buffer` keeps what follows.
inline std::optional<message> readMessage(connection &from, std::string &buffer, bool isAnswer, std::optional<steady::time_point> until = {})
{
    message result;
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!from.receive(buffer, until)) {
            return std::nullopt;
        }
    }
    std::istringstream lines(buffer.substr(0, end + 2));
    buffer.erase(0, end + 4);
    std::string line;
    std::getline(lines, line);
    result.firstLine = line.substr(0, line.find('\r'));
    while (std::getline(lines, line) && line != "\r") {
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            continue;
        }
        std::string value = line.substr(colon + 1, line.find('\r') - colon - 1);
        value.erase(0, value.find_first_not_of(' '));
        result.headers.emplace_back(line.substr(0, colon), value);
    }
    if (result.header("Transfer-Encoding") == "chunked") {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer.find("\r\n")) == std::string::npos) {
                if (!from.receive(buffer, until)) {
                    return result;
                }
            }
            const std::size_t size = std::stoul(buffer.substr(0, lineEnd), nullptr, 16);
            while (buffer.size() < lineEnd + 2 + size + 2) {
                if (!from.receive(buffer, until)) {
                    result.body += buffer.substr(lineEnd + 2);
                    return result;
                }
            }
            result.body += buffer.substr(lineEnd + 2, size);
            buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                result.complete = true;
                return result;
            }
        }
    }
    const std::string length = result.header("Content-Length");
    if (length.empty() && isAnswer) {
        while (from.receive(buffer, until)) {
        }
        result.body = std::move(buffer);
        buffer.clear();
        result.complete = !from.wasReset && !from.timedOut;
        return result;
    }
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (buffer.size() < size) {
        if (!from.receive(buffer, until)) {
            result.body = buffer;
            return result;
        }
    }
    result.body = buffer.substr(0, size);
    buffer.erase(0, size);
    result.complete = true;
    return result;
}

inline std::string answerText(int status, const std::string &extraHeaders, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Serves connections on a free loopback port, each in a thread of its own. The handler returns false to close the connection.
class server
{
public:
    using handler = std::function<bool(connection &, const message &)>;

    explicit server(handler onRequest, int port = 0)
        : m_handler(std::move(onRequest))
    {
        m_listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in place = loopback(port);
        socklen_t size = sizeof(place);
        if (::bind(m_listener, reinterpret_cast<sockaddr *>(&place), size) != 0 || ::listen(m_listener, 1024) != 0) {
            cannotRun("cannot listen");
        }
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&place), &size);
        m_port = ntohs(place.sin_port);
        std::thread([this] { acceptLoop(); }).detach();
    }

    [[nodiscard]] int port() const { return m_port; }

private:
    void acceptLoop()
    {
        while (true) {
            const int handle = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (handle < 0) {
                sleepFor(10ms);
                continue;
            }
            std::thread([this, handle] { serve(handle); }).detach();
        }
    }

    void serve(int handle)
    {
        connection peer(handle);
        std::string buffer;
        try {
            while (std::optional<message> request = readMessage(peer, buffer, false)) {
                if (!request->complete || !m_handler(peer, *request)) {
                    return;
                }
            }
        } catch (const std::exception &fault) {
            std::fprintf(stderr, "stand-in: %s\n", fault.what());
        }
    }

    handler m_handler;
    int m_listener = -1;
    int m_port = 0;
};

// ---- The platform's store --------------------------------------------------------------------------------------------------------------

inline std::string base64(const std::string &bytes)
{
    static const char *letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : letters[value >> (18 - 6 * k) & 63U];
        }
    }
    return text;
}

// A linearizable store with leases, transactions and watches, as PROTOCOL.md describes it.
class store
{
public:
    explicit store(record_file &record)
        : m_record(record)
        , m_server([this](connection &peer, const message &request) { return handle(peer, request); })
    {
        std::thread([this] {
            while (true) {
                sleepFor(20ms);
                const std::lock_guard guard(m_lock);
                endLapsed();
            }
        }).detach();
    }

    [[nodiscard]] int port() const { return m_server.port(); }

    void put(const std::string &key, const json &value)
    {
        const std::lock_guard guard(m_lock);
        write(key, base64(value.dump()), 0);
    }

    void remove(const std::string &key)
    {
        const std::lock_guard guard(m_lock);
        erase(key);
    }

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct lease
    {
        steady::time_point until;
        std::chrono::milliseconds term{};
    };

    void write(const std::string &key, const std::string &value, std::uint64_t leaseId)
    {
        item &held = m_items[key];
        held.value = value;
        held.revision = ++m_revision;
        held.created = held.created == 0 ? held.revision : held.created;
        held.lease = leaseId;
        m_changes.push_back(toJson(key, held));
        m_changed.notify_all();
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) > 0) {
            m_changes.push_back({{"Key", key}, {"Revision", ++m_revision}, {"Deleted", true}});
            m_changed.notify_all();
        }
    }

    void endLapsed()
    {
        for (auto held = m_leases.begin(); held != m_leases.end();) {
            if (held->second.until > steady::now()) {
                ++held;
                continue;
            }
            std::vector<std::string> gone;
            for (const auto &[key, value] : m_items) {
                if (value.lease == held->first) {
                    gone.push_back(key);
                }
            }
            held = m_leases.erase(held);
            for (const std::string &key : gone) {
                erase(key);
            }
        }
    }

    static json toJson(const std::string &key, const item &held)
    {
        return {{"Key", key}, {"Value", held.value}, {"Revision", held.revision}, {"CreatedAt", held.created}, {"Lease", held.lease}};
    }

    static bool respond(connection &peer, int status, const json &body)
    {
        return peer.send(answerText(status, "Content-Type: application/json\r\n", body.dump()));
    }

    bool handle(connection &peer, const message &request)
    {
        const std::string path = request.path();
        if (path == "/api/kv-watch") {
            return answerWatch(peer, request);
        }
        json answer = json::object();
        int status = 200;
        {
            const std::lock_guard guard(m_lock);
            endLapsed();
            status = apply(path, request, answer);
        }
        return respond(peer, status, answer);
    }

    int apply(const std::string &path, const message &request, json &answer)
    {
        if (path == "/api/kv-range") {
            const std::string prefix = percentDecoded(request.parameter("Prefix"));
            const std::string after = percentDecoded(request.parameter("After"));
            answer = {{"Items", json::array()}, {"HasMore", false}, {"At", m_revision}};
            for (const auto &[key, held] : m_items) {
                if (key.rfind(prefix, 0) == 0 && (after.empty() || key > after)) {
                    answer["Items"].push_back(toJson(key, held));
                }
            }
            return 200;
        }
        if (path == "/api/kv-key") {
            const auto found = m_items.find(percentDecoded(request.parameter("Key")));
            if (found == m_items.end()) {
                return 404;
            }
            answer = toJson(found->first, found->second);
            answer["At"] = m_revision;
            return 200;
        }
        if (path == "/api/kv-lease") {
            const std::chrono::milliseconds term(json::parse(request.body).at("TtlMs").get<std::int64_t>());
            m_leases[++m_lastLease] = {steady::now() + term, term};
            answer = {{"Lease", m_lastLease}, {"TtlMs", term.count()}};
            return 200;
        }
        if (path.rfind("/api/kv-keep/", 0) == 0 || path.rfind("/api/kv-lease-end/", 0) == 0) {
            const auto found = m_leases.find(std::stoull(path.substr(path.rfind('/') + 1)));
            if (found == m_leases.end()) {
                return 404;
            }
            const bool ends = path.rfind("/api/kv-lease-end/", 0) == 0;
            found->second.until = ends ? steady::time_point{} : steady::now() + found->second.term;
            answer = {{"TtlMs", found->second.term.count()}};
            endLapsed();
            return 200;
        }
        return path == "/api/kv-txn" ? applyChange(json::parse(request.body), answer) : 404;
    }

    int applyChange(const json &wanted, json &answer)
    {
        for (const json &row : wanted.at("ExpectedRev")) {
            const auto held = m_items.find(row.at("Key"));
            const std::uint64_t revision = held == m_items.end() ? 0 : held->second.revision;
            if (revision != row.at("Revision").get<std::uint64_t>()) {
                answer = {{"Items", json::array()}};
                return 412;
            }
        }
        for (const json &row : wanted.at("Writes")) {
            const std::uint64_t leaseId = row.value("Lease", std::uint64_t{0});
            if (leaseId != 0 && m_leases.count(leaseId) == 0) {
                return 404;
            }
            const std::string key = row.at("Key");
            if (key.rfind("op/", 0) == 0 || key.rfind("servers/", 0) == 0) {
                return 403;
            }
        }
        for (const json &row : wanted.at("Writes")) {
            write(row.at("Key"), row.at("Value"), row.value("Lease", std::uint64_t{0}));
            m_record.line("store: " + row.at("Key").get<std::string>() + " written at revision " + std::to_string(m_revision));
        }
        for (const json &key : wanted.at("Remove")) {
            erase(key);
        }
        answer = {{"Revision", m_revision}};
        return 200;
    }

    bool answerWatch(connection &peer, const message &request)
    {
        const std::string prefix = percentDecoded(request.parameter("Prefix"));
        const std::uint64_t after = std::stoull(request.parameter("After"));
        const auto until = steady::now() + std::chrono::milliseconds(std::stoll(request.parameter("WaitMs")));
        json answer;
        {
            std::unique_lock guard(m_lock);
            while (true) {
                answer = {{"events", json::array()}, {"At", m_revision}};
                for (const json &change : m_changes) {
                    if (change["Revision"].get<std::uint64_t>() > after && change["Key"].get<std::string>().rfind(prefix, 0) == 0) {
                        answer["events"].push_back(change);
                    }
                }
                if (!answer["events"].empty() || steady::now() >= until) {
                    break;
                }
                m_changed.wait_until(guard, until);
            }
        }
        return respond(peer, 200, answer);
    }

    record_file &m_record;
    std::mutex m_lock;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::vector<json> m_changes;
    std::map<std::uint64_t, lease> m_leases;
    std::uint64_t m_revision = 1;
    std::uint64_t m_lastLease = 1000;
    server m_server; // last: it serves from here on
};

// ---- The end of a case -----------------------------------------------------------------------------------------------------------------

// What has to be ended or removed, whatever way a case ends.
struct case_state
{
    std::unique_ptr<record_file> record;
    std::string folder;
    std::vector<pid_t> processes;
};

inline case_state &current()
{
    static case_state state;
    return state;
}

// Ends the case at once, without destructors: the threads of the stand-ins still use what they were given.
[[noreturn]] inline void finish(int result)
{
    for (const pid_t process : current().processes) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    current().record->line(result == brokenExit ? "result: the rule was broken"
            : result == heldExit                ? "result: the rule held"
                                                : "result: the case could not run");
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(current().folder);
    } else {
        std::printf("kept: %s\n", current().folder.c_str());
    }
    std::fflush(nullptr);
    ::_exit(result);
}

[[noreturn]] inline void cannotRun(const std::string &why)
{
    current().record->line("the case could not run: " + why);
    finish(notRunExit);
}

// Prepares the record in the case's folder, which is the program's argument, and a temporary folder for what the processes write.
inline record_file &prepareCase(int argc, char **argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    std::string folder = "/tmp/chicory-review-XXXXXX";
    if (argc != 2 || ::mkdtemp(folder.data()) == nullptr) {
        std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
        std::exit(notRunExit);
    }
    current().folder = folder;
    current().record = std::make_unique<record_file>(std::string(argv[1]) + "/record.txt");
    return *current().record;
}

// ---- The daemon ------------------------------------------------------------------------------------------------------------------------

// One entry instance: the daemon with the command of the deploy file, its settings rendered as deploy/settings.yaml.template says.
class router
{
public:
    router(const std::string &name, const std::string &zone, int storePort, int cloudPort)
        : gateway(freePort())
        , readiness(freePort())
    {
        const std::string path = current().folder + "/" + name + ".conf";
        std::ofstream file(path);
        file << "instance: \"" << name << "\"\nfailure_domain: \"" << zone << "\"\nregion: \"prairie\"\n"
             << "failure_domains:\n  \"prairie-a\": \"prairie\"\n  \"prairie-b\": \"prairie\"\n"
             << "gateway: \"127.0.0.1:" << gateway << "\"\nreadiness: \"127.0.0.1:" << readiness << "\"\nmetrics: \"127.0.0.1:" << freePort()
             << "\"\npeer: \"127.0.0.1:" << freePort() << "\"\nplatform:\n  form: hosted\n  key_value: \"127.0.0.1:" << storePort
             << "\"\n  cloud: \"127.0.0.1:" << cloudPort
             << "\"\n  lease_term: 3000ms\n  document_within: 2000ms\n  leaving_within: 2000ms\n  usage_window: 5s\n"
             << "  account_window: 8s\n  retry_reserve: 52\npeer_key: \"entry instances of one deployment\"\n"
             << "operator_token_hash: \"0000000000000000000000000000000000000000000000000000000000000000\"\n"
             << "load_control: auto\nthreads: 1\nstop_within: 8s\n";
        file.close();
        m_settings = path;
        m_log = current().folder + "/" + name + ".log";
    }

    router(const router &) = delete;
    router &operator=(const router &) = delete;

    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            if (maxFds > 0) {
                const rlimit files{static_cast<rlim_t>(maxFds), static_cast<rlim_t>(maxFds)};
                ::setrlimit(RLIMIT_NOFILE, &files);
            }
            const int log = ::open(m_log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
            ::dup2(log, 1);
            ::dup2(log, 2);
            const std::string settings = "--settings=" + m_settings;
            ::execl("target/chicoryrouterd", "target/chicoryrouterd", settings.c_str(), static_cast<char *>(nullptr));
            ::_exit(127);
        }
        current().processes.push_back(m_pid);
    }

    // Asks as the platform does: GET /api/ready.
    [[nodiscard]] bool isReady() const
    {
        const auto peer = connectTo(readiness);
        if (peer == nullptr || !peer->send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        std::string buffer;
        const auto answer = readMessage(*peer, buffer, true, steady::now() + 1s);
        return answer && answer->status() == 200;
    }

    [[nodiscard]] bool waitUntilReady(std::chrono::milliseconds span = 10s) const
    {
        for (const auto until = steady::now() + span; steady::now() < until; sleepFor(50ms)) {
            if (isReady()) {
                return true;
            }
        }
        return false;
    }

    void signal(int number) const { ::kill(m_pid, number); }

    // Waits for the process's end; SIGKILL at `until`. Returns whether it ended by itself.
    bool waitForEnd(steady::time_point until)
    {
        while (steady::now() < until) {
            if (::waitpid(m_pid, &exitStatus, WNOHANG) == m_pid) {
                std::erase(current().processes, m_pid);
                return true;
            }
            sleepFor(10ms);
        }
        ::kill(m_pid, SIGKILL);
        ::waitpid(m_pid, &exitStatus, 0);
        std::erase(current().processes, m_pid);
        return false;
    }

    const int gateway;
    const int readiness;
    int maxFds = 0; // descriptors of the process; 0: as many as this program has
    int exitStatus = 0;

private:
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

// The platform's readiness probe on a kept connection, opened anew when the daemon has closed it.
class readiness_probe
{
public:
    explicit readiness_probe(const router &daemon)
        : m_port(daemon.readiness)
    {
    }

    [[nodiscard]] bool isReady()
    {
        if (m_peer == nullptr || m_peer->isClosed()) {
            m_peer = connectTo(m_port);
            m_buffer.clear();
        }
        if (m_peer == nullptr || !m_peer->send("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")) {
            return false;
        }
        const auto answer = readMessage(*m_peer, m_buffer, true, steady::now() + 1s);
        if (!answer) {
            m_peer = nullptr;
        }
        return answer && answer->status() == 200;
    }

private:
    int m_port;
    std::unique_ptr<connection> m_peer;
    std::string m_buffer;
};

// ---- A case ----------------------------------------------------------------------------------------------------------------------------

inline json route(
    const std::string &name, const std::string &prefix, const std::string &kind, int timeoutMs, int sloMs, const std::string &service, int attempts)
{
    return {{"Name", name}, {"Host", "shop.example"}, {"Prefix", prefix}, {"Kind", kind}, {"TimeoutMs", timeoutMs}, {"SloMs", sloMs}, {"Priority", 1},
        {"Service", service}, {"MaxAttempts", attempts}, {"Public", false}, {"Affinity", false}, {"StreamResume", false}, {"GapTargetMs", 400}};
}

inline json configuration(int version, json routes, json services)
{
    return {{"Version", version}, {"Routes", std::move(routes)}, {"Services", std::move(services)},
        {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}},
        {"Tenants",
            json::array({{{"Name", "guild"}, {"ApiKeys", json::array({"key-of-guild"})}, {"Priority", 1}, {"Unit", "token_count"}, {"PlainTokens", 200},
                {"RatePerS", 0}, {"Burst", 0}}})}};
}

inline json plainService(const std::string &name)
{
    return {{"Name", name}, {"HealthPath", "/health"}, {"MaxConnections", 96}, {"Protocol", "h1"}, {"Tls", false}, {"ColdStartS", 0.0}, {"ColdPerS", 0.0}};
}

inline json modelService(const std::string &name, int slots)
{
    json result = plainService(name);
    result["MaxConnections"] = 360;
    result["Engine"] = {{"Slots", slots}, {"KvCapacityTokens", 669466}, {"KvTokenBytes", 18432}, {"LinkMbps", 130000.0}, {"Stride", 5}, {"most", 12},
        {"PinMs", 4000.0}, {"HoldMs", 2000.0}, {"HandleS", 5.0}, {"Models", json::array({{{"Name", "m"}}})}};
    return result;
}

inline json serverEntry(const std::string &service, const std::string &zone, int port, int slots, const std::string &state = "ready")
{
    static const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    return {{"Service", service}, {"Address", "127.0.0.1:" + std::to_string(port)}, {"Zone", zone}, {"Version", "v1"}, {"Slots", slots}, {"State", state},
        {"ColdRemainingMs", 0}, {"Sequence", 1}, {"born", born}};
}

// A client's request as bytes.
inline std::string requestText(
    const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &extra = {}, const std::string &body = {})
{
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nX-Api-Key: key-of-guild\r\n" + extra + (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

inline std::string sealOf(const std::string &id)
{
    return "seal." + id;
}

// The answer headers that every endpoint sends.
inline std::string answerHeaders(const std::string &id)
{
    return "Content-Type: text/plain\r\nX-Request-Id: " + id + "\r\nX-Response-Seal: " + sealOf(id) + "\r\n";
}

// Refuses what an endpoint refuses: requests without an id, and those that are meant for another one. False: it is refused and answered.
inline bool isAccepted(connection &peer, const message &request, const std::string &instance)
{
    const std::string id = request.header("X-Request-Id");
    if (id.empty()) {
        peer.send(answerText(400, "X-Not-Executed: 1\r\n", ""));
        return false;
    }
    const std::string target = request.header("X-Target-Instance");
    if (!target.empty() && target != instance) {
        peer.send(answerText(421, "X-Request-Id: " + id + "\r\nX-Not-Executed: 1\r\nX-Instance-Id: " + instance + "\r\n", ""));
        return false;
    }
    return true;
}

inline bool isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace stage
