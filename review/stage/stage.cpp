// The parts of stage.h.
#include "stage.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace stage {

using namespace std::chrono_literals;

// ---- The record ------------------------------------------------------------------------------------------------------------------------

record::record(const std::string &path)
    : m_out(path, std::ios::trunc)
{
}

double record::seconds() const
{
    return std::chrono::duration<double>(clock::now() - m_start).count();
}

void record::line(const std::string &text)
{
    const std::lock_guard guard(m_lock);
    m_out << std::fixed << std::setprecision(3) << std::setw(8) << seconds() << " s  " << text << std::endl;
}

// ---- HTTP/1.1 --------------------------------------------------------------------------------------------------------------------------

std::string header(const headers &list, std::string_view name)
{
    for (const auto &[key, value] : list) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

std::string message::method() const
{
    return start.substr(0, start.find(' '));
}

std::string message::target() const
{
    const auto first = start.find(' ');
    return start.substr(first + 1, start.find(' ', first + 1) - first - 1);
}

connection::connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
    ::close(m_descriptor);
}

std::unique_ptr<connection> connection::open(const std::string &ip, int port, milliseconds within)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &place.sin_addr);
    int fault = ::connect(descriptor, reinterpret_cast<sockaddr *>(&place), sizeof(place)) == 0 ? 0 : errno;
    if (fault == EINPROGRESS) {
        pollfd waiting{descriptor, POLLOUT, 0};
        socklen_t size = sizeof(fault);
        if (poll(&waiting, 1, static_cast<int>(within.count())) == 1) {
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &fault, &size);
        }
    }
    if (fault != 0) {
        ::close(descriptor);
        return nullptr;
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<connection>(descriptor);
}

void connection::setReadTimeout(milliseconds within)
{
    const timeval limit{within.count() / 1000, within.count() % 1000 * 1000};
    setsockopt(m_descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill()
{
    char piece[16384];
    const ssize_t got = recv(m_descriptor, piece, sizeof(piece), 0);
    if (got <= 0) {
        return false;
    }
    m_buffer.append(piece, static_cast<std::size_t>(got));
    return true;
}

bool connection::readLine(std::string &line)
{
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n")) == std::string::npos) {
        if (!fill()) {
            return false;
        }
    }
    line = m_buffer.substr(0, end);
    m_buffer.erase(0, end + 2);
    return true;
}

bool connection::readBytes(std::size_t count, std::string &into)
{
    while (m_buffer.size() < count) {
        if (!fill()) {
            into += m_buffer;
            m_buffer.clear();
            return false;
        }
    }
    into.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    return true;
}

bool connection::readChunks(std::string &into)
{
    std::string line;
    while (readLine(line)) {
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (!readBytes(size, into) || !readLine(line)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
    return false;
}

bool connection::readHead(message &into)
{
    std::string line;
    if (!readLine(into.start)) {
        return false;
    }
    while (readLine(line)) {
        if (line.empty()) {
            return true;
        }
        const auto colon = line.find(':');
        const auto value = line.find_first_not_of(' ', colon + 1);
        into.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
    }
    return false;
}

std::optional<message> connection::readRequest()
{
    message request;
    if (!readHead(request)) {
        return std::nullopt;
    }
    const std::string length = header(request.fields, "Content-Length");
    const bool chunked = !header(request.fields, "Transfer-Encoding").empty();
    request.complete = chunked ? readChunks(request.body) : readBytes(std::strtoul(length.c_str(), nullptr, 10), request.body);
    return request.complete ? std::optional(request) : std::nullopt;
}

message connection::readAnswer()
{
    message answer;
    if (!readHead(answer) || answer.start.size() < 12) {
        return answer;
    }
    answer.status = std::atoi(answer.start.c_str() + 9);
    const std::string length = header(answer.fields, "Content-Length");
    if (!header(answer.fields, "Transfer-Encoding").empty()) {
        answer.complete = readChunks(answer.body);
    } else if (!length.empty()) {
        answer.complete = readBytes(std::strtoul(length.c_str(), nullptr, 10), answer.body);
    } else {
        answer.unframed = true;
        errno = 0;
        while (fill()) {
        }
        answer.complete = errno == 0;
        answer.body = std::move(m_buffer);
        m_buffer.clear();
    }
    return answer;
}

bool connection::peerClosed() const
{
    pollfd waiting{m_descriptor, POLLIN, 0};
    return poll(&waiting, 1, 0) != 0;
}

void connection::reset()
{
    const linger now{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

void connection::shutdown()
{
    ::shutdown(m_descriptor, SHUT_RDWR);
}

std::string answerText(int status, const headers &fields, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto &[name, value] : fields) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

namespace {

// A listening socket. Port 0: a free one.
int listenOn(const std::string &ip, int port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &place.sin_addr);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&place), sizeof(place)) != 0 || listen(descriptor, 512) != 0) {
        ::close(descriptor);
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    return descriptor;
}

int portOf(int descriptor)
{
    sockaddr_in place{};
    socklen_t size = sizeof(place);
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&place), &size);
    return ntohs(place.sin_port);
}

int freePort(const std::string &ip)
{
    const int descriptor = listenOn(ip, 0);
    const int port = portOf(descriptor);
    ::close(descriptor);
    return port;
}

} // namespace

server::server(const std::string &ip, int port, handler onRequest)
    : m_ip(ip)
    , m_listener(listenOn(ip, port))
    , m_handler(std::move(onRequest))
{
    m_port = portOf(m_listener);
    m_accepting = std::thread([this] { accept(); });
}

server::~server()
{
    close();
}

void server::accept()
{
    while (!m_closing) {
        const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            continue;
        }
        const auto open = std::make_shared<connection>(descriptor);
        const std::lock_guard guard(m_lock);
        if (!m_closing) {
            m_open.emplace_back(open, std::thread([this, open] { serve(open); }));
        }
    }
}

void server::serve(const std::shared_ptr<connection> &open)
{
    bool going = true;
    while (going && !m_closing) {
        const std::optional<message> request = open->readRequest();
        going = request && m_handler(*open, *request);
    }
    open->shutdown();
}

void server::close()
{
    if (m_closing.exchange(true)) {
        return;
    }
    ::shutdown(m_listener, SHUT_RDWR);
    m_accepting.join();
    ::close(m_listener);
    std::list<std::pair<std::shared_ptr<connection>, std::thread>> open;
    {
        const std::lock_guard guard(m_lock);
        open.swap(m_open);
    }
    for (auto &[item, thread] : open) {
        item->shutdown();
    }
    for (auto &[item, thread] : open) {
        thread.join();
    }
}

// ---- The platform ----------------------------------------------------------------------------------------------------------------------

namespace {

constexpr std::string_view base64Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string parameter(const std::string &target, const std::string &name)
{
    const auto mark = target.find('?');
    std::string rest = mark == std::string::npos ? "" : "&" + target.substr(mark + 1);
    const auto found = rest.find("&" + name + "=");
    if (found == std::string::npos) {
        return {};
    }
    const auto begin = found + name.size() + 2;
    std::string plain;
    for (std::size_t i = begin; i < rest.size() && rest[i] != '&'; ++i) {
        const bool coded = rest[i] == '%' && i + 2 < rest.size();
        plain += coded ? static_cast<char>(std::stoi(rest.substr(i + 1, 2), nullptr, 16)) : rest[i];
        i += coded ? 2 : 0;
    }
    return plain;
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

std::string decodeBase64(const std::string &text)
{
    std::string bytes;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char letter : text) {
        const auto value = base64Letters.find(letter);
        if (value == std::string_view::npos) {
            break;
        }
        bits = bits << 6U | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            bytes += static_cast<char>(bits >> static_cast<unsigned>(count) & 255U);
        }
    }
    return bytes;
}

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8U | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > bytes.size() ? '=' : base64Letters[bits >> (18U - 6U * k) & 63U];
        }
    }
    return text;
}

platform::platform(const std::string &ip, record &log)
    : m_record(log)
    , m_server(ip, 0, [this](connection &to, const message &request) { return handle(to, request); })
{
}

std::uint64_t platform::put(const std::string &key, const std::string &value)
{
    const std::lock_guard guard(m_lock);
    write(key, encodeBase64(value), 0);
    return m_revision;
}

void platform::remove(const std::string &key)
{
    const std::lock_guard guard(m_lock);
    erase(key);
}

std::optional<std::string> platform::value(const std::string &key)
{
    const std::lock_guard guard(m_lock);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::nullopt : std::optional(decodeBase64(found->second.value));
}

json platform::itemJson(const std::string &key, const item &held) const
{
    return {{"Key", key}, {"Value", held.value}, {"Revision", held.revision}, {"CreatedAt", held.created}, {"Lease", held.lease}};
}

void platform::write(const std::string &key, std::string encoded, std::uint64_t ofLease)
{
    item &held = m_items[key];
    held.value = std::move(encoded);
    held.revision = ++m_revision;
    held.created = held.created == 0 ? m_revision : held.created;
    held.lease = ofLease;
    m_changes.push_back(itemJson(key, held));
    m_changed.notify_all();
}

void platform::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        m_changes.push_back({{"Key", key}, {"Revision", ++m_revision}, {"Deleted", true}});
        m_changed.notify_all();
    }
}

void platform::endLeases()
{
    for (auto held = m_leases.begin(); held != m_leases.end();) {
        if (held->second.until > clock::now()) {
            ++held;
            continue;
        }
        std::vector<std::string> gone;
        for (const auto &[key, value] : m_items) {
            if (value.lease == held->first) {
                gone.push_back(key);
            }
        }
        for (const std::string &key : gone) {
            erase(key);
        }
        held = m_leases.erase(held);
    }
}

json platform::range(const std::string &prefix, const std::string &after)
{
    json answer = {{"Items", json::array()}, {"HasMore", false}, {"At", m_revision}};
    for (const auto &[key, held] : m_items) {
        if (!startsWith(key, prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (answer["Items"].size() == 500) {
            answer["HasMore"] = true;
            break;
        }
        answer["Items"].push_back(itemJson(key, held));
    }
    return answer;
}

json platform::watch(const std::string &prefix, std::uint64_t after, milliseconds wait)
{
    const clock::time_point until = clock::now() + std::min<milliseconds>(wait, 30s);
    json answer = {{"events", json::array()}, {"At", after}};
    std::unique_lock guard(m_lock);
    while (true) {
        endLeases();
        answer["At"] = std::max(after, m_revision);
        for (const json &change : m_changes) {
            if (change.at("Revision") > after && startsWith(change.at("Key"), prefix)) {
                answer["events"].push_back(change);
            }
        }
        if (!answer["events"].empty() || clock::now() >= until) {
            return answer;
        }
        m_changed.wait_until(guard, std::min(until, clock::now() + 50ms));
    }
}

std::pair<int, json> platform::transact(const json &wanted)
{
    json present = json::array();
    bool holds = true;
    for (const json &row : wanted.at("ExpectedRev")) {
        const auto found = m_items.find(row.at("Key"));
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("Revision").get<std::uint64_t>();
        if (found != m_items.end()) {
            present.push_back(itemJson(found->first, found->second));
        }
    }
    if (!holds) {
        return {412, {{"Items", present}}};
    }
    for (const json &row : wanted.at("Writes")) {
        const std::uint64_t ofLease = row.value("Lease", std::uint64_t{0});
        if (ofLease != 0 && m_leases.count(ofLease) == 0) {
            return {404, json::object()};
        }
    }
    for (const json &row : wanted.at("Writes")) {
        write(row.at("Key"), row.at("Value"), row.value("Lease", std::uint64_t{0}));
    }
    for (const json &key : wanted.at("Remove")) {
        erase(key);
    }
    return {200, {{"Revision", m_revision}}};
}

bool platform::handle(connection &to, const message &request)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    int status = 200;
    json answer = json::object();
    if (path == "/api/kv-watch") {
        answer = watch(parameter(target, "Prefix"), std::stoull(parameter(target, "After")), milliseconds(std::stoll(parameter(target, "WaitMs"))));
    } else if (path == "/usage" || path == "/scale") {
        m_record.line("platform: " + path + " by " + header(request.fields, "X-Duty-Holder") + " fence " + header(request.fields, "X-Fencing-Token") + " "
            + request.body);
    } else {
        const std::lock_guard guard(m_lock);
        endLeases();
        if (path == "/api/kv-range") {
            answer = range(parameter(target, "Prefix"), parameter(target, "After"));
        } else if (path == "/api/kv-key") {
            const auto found = m_items.find(parameter(target, "Key"));
            status = found == m_items.end() ? 404 : 200;
            answer = found == m_items.end() ? json::object() : itemJson(found->first, found->second);
            answer["At"] = m_revision;
        } else if (path == "/api/kv-txn") {
            std::tie(status, answer) = transact(json::parse(request.body));
        } else if (path == "/api/kv-lease") {
            const milliseconds term(json::parse(request.body).at("TtlMs").get<std::int64_t>());
            m_leases[++m_nextLease] = {clock::now() + term, term};
            answer = {{"Lease", m_nextLease}, {"TtlMs", term.count()}};
        } else if (startsWith(path, "/api/kv-keep/") || startsWith(path, "/api/kv-lease-end/")) {
            const auto found = m_leases.find(std::stoull(path.substr(path.rfind('/') + 1)));
            const bool ends = startsWith(path, "/api/kv-lease-end/");
            status = found == m_leases.end() ? 404 : 200;
            if (found != m_leases.end()) {
                found->second.until = ends ? clock::time_point{} : clock::now() + found->second.term;
                answer = {{"TtlMs", found->second.term.count()}};
                endLeases();
            }
        } else {
            status = 404;
        }
    }
    return to.send(answerText(status, {{"Content-Type", "application/json"}}, answer.dump()));
}

// ---- The way to the store --------------------------------------------------------------------------------------------------------------

store_link::store_link(const std::string &ip, int storePort, const std::string &storeIp)
    : m_ip(ip)
    , m_storeIp(storeIp)
    , m_storePort(storePort)
    , m_listener(listenOn(ip, 0))
    , m_port(portOf(m_listener))
    , m_accepting([this] { accept(); })
{
}

store_link::~store_link()
{
    m_closing = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_accepting.join();
    ::close(m_listener);
    for (const auto &ends : m_open) {
        ::shutdown((*ends)[0], SHUT_RDWR);
        ::shutdown((*ends)[1], SHUT_RDWR);
    }
    for (std::thread &item : m_threads) {
        item.join();
    }
    for (const auto &ends : m_open) {
        ::close((*ends)[0]);
        ::close((*ends)[1]);
    }
}

void store_link::accept()
{
    while (!m_closing) {
        const int near = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (near < 0) {
            continue;
        }
        const int far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in place{};
        place.sin_family = AF_INET;
        place.sin_port = htons(static_cast<std::uint16_t>(m_storePort));
        inet_pton(AF_INET, m_storeIp.c_str(), &place.sin_addr);
        ::connect(far, reinterpret_cast<sockaddr *>(&place), sizeof(place));
        const int on = 1;
        setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        setsockopt(far, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const auto ends = std::make_shared<std::array<int, 2>>(std::array<int, 2>{near, far});
        const std::lock_guard guard(m_lock);
        m_open.push_back(ends);
        m_threads.emplace_back([this, ends] { pass(ends, 0); });
        m_threads.emplace_back([this, ends] { pass(ends, 1); });
    }
}

void store_link::pass(const std::shared_ptr<std::array<int, 2>> &ends, int from)
{
    const int source = (*ends)[static_cast<std::size_t>(from)];
    const int sink = (*ends)[static_cast<std::size_t>(1 - from)];
    char piece[16384];
    ssize_t got = 0;
    while ((got = recv(source, piece, sizeof(piece), 0)) > 0) {
        while (cut && !m_closing) {
            std::this_thread::sleep_for(5ms);
        }
        ssize_t sent = 0;
        while (sent < got) {
            const ssize_t now = ::send(sink, piece + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
            if (now <= 0) {
                break;
            }
            sent += now;
        }
    }
    while (cut && !m_closing) {
        std::this_thread::sleep_for(5ms);
    }
    ::shutdown(sink, SHUT_WR);
}

// ---- Daemons ---------------------------------------------------------------------------------------------------------------------------

namespace {

// Fills in the project's template for the settings file. Handles what that template uses: values, one section for each entry of a table
// (Zones), and sections for values that are present.
std::string fillTemplate(std::string text, const std::map<std::string, std::string> &values)
{
    const std::string zonesBegin = "{{#Zones}}";
    const std::string zonesEnd = "{{/Zones}}";
    const auto begin = text.find(zonesBegin);
    const auto end = text.find(zonesEnd);
    if (begin != std::string::npos && end != std::string::npos) {
        const std::string each = text.substr(begin + zonesBegin.size(), end - begin - zonesBegin.size());
        std::string filled;
        for (const char *zone : zones) {
            std::string part = each;
            part.replace(part.find("{{@}}"), 5, zone);
            part.replace(part.find("{{.}}"), 5, "bretagne");
            filled += part;
        }
        text.replace(begin, end + zonesEnd.size() - begin, filled);
    }
    std::string result;
    std::size_t at = 0;
    while (at < text.size()) {
        const auto open = text.find("{{", at);
        result.append(text, at, open == std::string::npos ? std::string::npos : open - at);
        if (open == std::string::npos) {
            break;
        }
        const auto close = text.find("}}", open);
        const std::string name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (name.empty() || name[0] == '#' || name[0] == '/') {
            continue; // all values of this deployment are present
        }
        result += values.at(name);
    }
    return result;
}

std::string contentOf(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        throw std::runtime_error("cannot read " + path);
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// The program of the deploy file's role: the first word of its line `run`.
std::string programOf(const std::string &deployFile)
{
    const std::string text = contentOf(deployFile);
    const auto run = text.find("\nrun = \"");
    if (run == std::string::npos) {
        throw std::runtime_error("the deploy file has no line `run`");
    }
    const auto begin = run + 8;
    return text.substr(begin, text.find(' ', begin) - begin);
}

constexpr rlim_t maxDescriptors = 4100; // Limits.MaxFds of the site armor-tables

} // namespace

machine::machine(
    std::string name, std::string zone, std::string ip, const std::string &storeAddress, const std::string &cloudAddress, std::string folder, record &log)
    : m_name(std::move(name))
    , m_ip(std::move(ip))
    , m_settings(folder + "/" + m_name + ".conf")
    , m_output(folder + "/" + m_name + ".log")
    , m_record(log)
    , m_front(freePort(m_ip))
    , m_readiness(freePort(m_ip))
{
    const std::map<std::string, std::string> values
        = {{"Node", m_name}, {"Zone", zone}, {"Region", "bretagne"}, {"Ip", m_ip}, {"Listen.Front", m_ip + ":" + std::to_string(m_front)},
            {"Listen.Readiness", m_ip + ":" + std::to_string(m_readiness)}, {"InternalPorts.0", std::to_string(freePort(m_ip))},
            {"Platform.Address", storeAddress}, {"Cloud.Address", cloudAddress}, {"Bounds.LeaseMs", "3000"}, {"Bounds.ConfigApplyMs", "2000"},
            {"Bounds.DrainMs", "2000"}, {"Bounds.WindowS", "5"}, {"Bounds.QuotaWindowS", "8"}, {"Bounds.BudgetSlack", "58"}, {"Bounds.GraceS", "8"}};
    std::ofstream(m_settings) << fillTemplate(contentOf("deploy/settings.yaml.template"), values);
}

machine::~machine()
{
    kill();
}

void machine::start()
{
    const std::string program = programOf("deploy/system.toml");
    const std::string settings = "--settings=" + m_settings;
    const std::string boot = "CHICORYROUTER_BOOT=" + m_settings;
    const char *path = std::getenv("PATH");
    const char *home = std::getenv("HOME");
    const std::string pathText = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
    const std::string homeText = std::string("HOME=") + (home == nullptr ? "/" : home);
    const pid_t parent = getpid();
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // it must not outlive the case
        if (getppid() != parent) {
            _exit(127);
        }
        const rlimit descriptors{maxDescriptors, maxDescriptors};
        setrlimit(RLIMIT_NOFILE, &descriptors);
        const rlimit noCore{0, 0};
        setrlimit(RLIMIT_CORE, &noCore);
        const int out = ::open(m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, STDOUT_FILENO);
        dup2(out, STDERR_FILENO);
        const char *arguments[] = {program.c_str(), settings.c_str(), nullptr};
        const char *environment[] = {pathText.c_str(), homeText.c_str(), "LANG=C.UTF-8", boot.c_str(), nullptr};
        execve(program.c_str(), const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
        _exit(127);
    }
    m_record.line(m_name + ": started, process " + std::to_string(m_process));
}

void machine::signal(int number)
{
    if (running()) {
        ::kill(m_process, number);
    }
}

bool machine::running()
{
    int status = 0;
    if (m_process != 0 && waitpid(m_process, &status, WNOHANG) == m_process) {
        m_end = WIFSIGNALED(status) ? "by signal " + std::to_string(WTERMSIG(status)) + " (" + strsignal(WTERMSIG(status)) + ")"
                                    : "with exit code " + std::to_string(WEXITSTATUS(status));
        m_process = 0;
    }
    return m_process != 0;
}

std::optional<std::string> machine::takeEnd()
{
    running();
    return std::exchange(m_end, std::nullopt);
}

void machine::kill()
{
    if (running()) {
        ::kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
        m_process = 0;
    }
}

bool machine::ready(milliseconds within)
{
    const clock::time_point until = clock::now() + within;
    while (clock::now() < until && running()) {
        if (const auto probe = connection::open(m_ip, m_readiness, 500ms)) {
            probe->setReadTimeout(1s);
            probe->send("GET /api/ready HTTP/1.1\r\nHost: " + m_ip + "\r\nConnection: close\r\n\r\n");
            if (probe->readAnswer().status == 200) {
                return true;
            }
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

std::size_t machine::memoryMb() const
{
    std::ifstream file("/proc/" + std::to_string(m_process) + "/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

std::size_t machine::descriptors() const
{
    std::error_code ignored;
    std::size_t count = 0;
    for (const auto &item : std::filesystem::directory_iterator("/proc/" + std::to_string(m_process) + "/fd", ignored)) {
        static_cast<void>(item);
        ++count;
    }
    return count;
}

// ---- A deployment ----------------------------------------------------------------------------------------------------------------------

json configuration()
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int timeout, int slo, int rank, const char *service, int attempts) {
        return json{{"Name", name}, {"Host", host}, {"Prefix", prefix}, {"Kind", kind}, {"TimeoutMs", timeout}, {"SloMs", slo}, {"Priority", rank},
            {"Service", service}, {"MaxAttempts", attempts}, {"Public", false}};
    };
    json chat = route("r-m82thhk", "/pufi791/", "streaming", 12000, 500, 0, modelService, 2);
    chat.update({{"Affinity", true}, {"StreamResume", true}, {"GapTargetMs", 400}});
    const json order = route("r-k2p41x0", "/puxa403/", "non_idempotent", 3000, 300, 2, plainService, 1);
    const json look = route("r-v90ad3s", "/cufi504/fi50/", "idempotent", 3000, 300, 2, plainService, 2);
    const json model = {{"Name", modelService}, {"HealthPath", "/health"}, {"MaxConnections", 370}, {"Protocol", "h1"}, {"Tls", false}, {"ColdStartS", 3.0},
        {"ColdPerS", 12.0}, {"Engine", {{"Slots", 64}, {"KvCapacityTokens", 692557}, {"Models", json::array({{{"Name", "m"}}})}}}};
    const json plain = {
        {"Name", plainService}, {"HealthPath", "/health"}, {"MaxConnections", 110}, {"Protocol", "h1"}, {"Tls", false}, {"ColdStartS", 0.0}, {"ColdPerS", 0.0}};
    const json tenant
        = {{"Name", "hule930"}, {"ApiKeys", {apiKey}}, {"Priority", 1}, {"Unit", "token_count"}, {"PlainTokens", 200}, {"RatePerS", 0}, {"Burst", 0}};
    return {{"Version", 7}, {"Routes", {chat, order, look}}, {"Services", {model, plain}}, {"Tenants", json::array({tenant})},
        {"Limits", {{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 4194304}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}}}};
}

std::string entry(const char *service, const std::string &address, const char *zone, int slots, int sequence, const char *state)
{
    return json({{"Service", service}, {"Address", address}, {"Zone", zone}, {"Version", "v1"}, {"Slots", slots}, {"State", state}, {"ColdRemainingMs", 0},
                    {"Sequence", sequence}})
        .dump();
}

namespace {

std::string makeFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "chicory-review-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr) {
        throw std::runtime_error("cannot make a temporary folder");
    }
    return path;
}

} // namespace

deployment::deployment(int argc, char **argv, std::size_t machineCount)
    : log(std::string(argc > 1 ? argv[1] : ".") + "/record.txt")
    , folder(makeFolder())
{
    std::random_device random;
    base = "127." + std::to_string(20 + random() % 200) + "." + std::to_string(1 + random() % 250) + ".";
    const char *trouble = std::getenv("TROUBLE");
    m_trouble = trouble == nullptr || std::string(trouble) != "0";
    log.line(m_trouble ? "with the disruption" : "without the disruption");
    store = std::make_unique<platform>(ipOf(1), log);
    store->put("op/config", configuration().dump());
    for (std::size_t i = 0; i < machineCount; ++i) {
        const std::string zone = zones[i % std::size(zones)];
        const std::string name = "edge-" + zone + "-" + std::to_string(i / std::size(zones) + 1);
        storeLinks.push_back(std::make_unique<store_link>(ipOf(2), store->port(), ipOf(1)));
        machines.push_back(std::make_unique<machine>(name, zone, ipOf(static_cast<int>(i) + 10), storeLinks.back()->address(), store->address(), folder, log));
    }
}

deployment::~deployment()
{
    machines.clear();
    storeLinks.clear();
    store.reset();
    std::error_code ignored;
    if (std::getenv("KEEP_FOLDER") == nullptr) {
        std::filesystem::remove_all(folder, ignored);
    } else {
        log.line("kept " + folder);
    }
}

std::string deployment::ipOf(int index) const
{
    return base + std::to_string(index);
}

void deployment::startMachines()
{
    for (const auto &item : machines) {
        item->start();
    }
    for (const auto &item : machines) {
        if (!item->ready(20s)) {
            throw std::runtime_error(item->name() + " did not become ready");
        }
    }
    std::this_thread::sleep_for(2s); // until the daemons know each other
    log.line("all machines are ready");
}

std::string deployment::nextId()
{
    std::ostringstream id;
    id << std::hex << std::setw(16) << std::setfill('0') << (0x9c41d07b00000000U + ++m_ids);
    return id.str();
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const headers &more, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nX-Api-Key: " + apiKey + "\r\n";
    for (const auto &[name, value] : more) {
        text += name + ": " + value + "\r\n";
    }
    if (method != "GET") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

int run(const std::function<int()> &play)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return play();
    } catch (const std::exception &fault) {
        std::cerr << "the case could not run: " << fault.what() << "\n";
        return could_not_run;
    }
}

} // namespace stage
