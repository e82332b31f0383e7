#ifndef CICADALOFT_REVIEW_COMMON_HARNESS_H_
#define CICADALOFT_REVIEW_COMMON_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// What the review's scripts share: processes, a record of what happened, and a
/// small blocking HTTP client and server. Each connection has a thread.
namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kNotRun = 2;

inline void Sleep(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

/// Writes the lines of record.txt, each with the time since the start in ms.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  std::int64_t Now() const {
    return std::chrono::duration_cast<milliseconds>(Clock::now() - this->start)
        .count();
  }
  void Write(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    this->file << this->Now() << " " << line << "\n" << std::flush;
  }

 private:
  std::ofstream file;
  std::mutex mutex;
  const Clock::time_point start = Clock::now();
};

/// Ends the case because a part of it could not be set up.
[[noreturn]] inline void Fail(const std::string& reason) {
  std::cerr << "could not run: " << reason << "\n";
  std::_Exit(kNotRun);
}

/// A process that the case has started. It is killed at the latest when the
/// object is destroyed.
class Process {
 public:
  Process() = default;
  Process(const std::vector<std::string>& command,
          const std::vector<std::string>& environment,
          const std::string& log) {
    std::vector<char*> arguments;
    for (const std::string& word : command) {
      arguments.push_back(const_cast<char*>(word.c_str()));
    }
    arguments.push_back(nullptr);
    std::vector<char*> variables;
    for (const std::string& word : environment) {
      variables.push_back(const_cast<char*>(word.c_str()));
    }
    variables.push_back(nullptr);
    this->id = fork();
    if (this->id == 0) {
      // Ends with the case, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output =
          open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      execve(arguments[0], arguments.data(), variables.data());
      _exit(kNotRun);
    }
    if (this->id < 0) {
      Fail("can't start " + command.front());
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  Process(Process&& other) noexcept : id(std::exchange(other.id, 0)) {}
  Process& operator=(Process&& other) noexcept {
    std::swap(this->id, other.id);
    return *this;
  }
  ~Process() { this->Kill(); }

  pid_t pid() const { return this->id; }
  void Signal(int number) const {
    if (this->id > 0) {
      kill(this->id, number);
    }
  }
  /// @return whether the process has ended; it is then reaped.
  bool HasEnded() {
    if (this->id > 0 && waitpid(this->id, nullptr, WNOHANG) == this->id) {
      this->id = 0;
    }
    return this->id <= 0;
  }
  void Kill() {
    if (this->id > 0) {
      kill(this->id, SIGKILL);
      waitpid(this->id, nullptr, 0);
      this->id = 0;
    }
  }
  /// Asks the process to end, and kills it if it doesn't within `ms`.
  void Stop(int ms) {
    this->Signal(SIGTERM);
    for (int waited = 0; waited < ms && !this->HasEnded(); waited += 20) {
      Sleep(20);
    }
    this->Kill();
  }
  /// @return the resident memory in MB; 0 if the process has ended.
  double ResidentMb() const {
    std::ifstream status("/proc/" + std::to_string(this->id) + "/status");
    std::string line;
    while (std::getline(status, line)) {
      if (line.starts_with("VmRSS:")) {
        return std::stod(line.substr(6)) / 1024;
      }
    }
    return 0;
  }

 private:
  pid_t id = 0;
};

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int BindLoopback(int port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = LoopbackAddress(port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof address) != 0) {
    close(listener);
    return -1;
  }
  return listener;
}

/// @return the first port of a block of free ports.
inline int FindFreePorts(int count) {
  for (int base = 21000 + getpid() % 50 * 200; base < 32000; base += 200) {
    bool is_free = true;
    for (int port = base; is_free && port < base + count; ++port) {
      const int listener = BindLoopback(port);
      is_free = listener >= 0;
      if (is_free) {
        close(listener);
      }
    }
    if (is_free) {
      return base;
    }
  }
  Fail("no free ports");
}

inline std::string Endpoint(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

/// A connected socket with what has been read from it and not been used.
class Connection {
 public:
  explicit Connection(int socket) : socket(socket) {
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() { close(this->socket); }

  /// @return null if nothing listens on the port.
  static std::unique_ptr<Connection> Open(int port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = LoopbackAddress(port);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) != 0) {
      close(socket);
      return nullptr;
    }
    return std::make_unique<Connection>(socket);
  }

  bool Write(std::string_view bytes) {
    while (!bytes.empty()) {
      const ssize_t size =
          send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }
  /// Reads once. @return whether anything was read within `ms`.
  bool ReadSome(int ms) {
    pollfd item{.fd = this->socket, .events = POLLIN, .revents = 0};
    if (poll(&item, 1, ms) <= 0) {
      return false;
    }
    char bytes[16384];
    const ssize_t size = recv(this->socket, bytes, sizeof bytes, 0);
    if (size <= 0) {
      this->is_open = false;
      return false;
    }
    this->input.append(bytes, static_cast<std::size_t>(size));
    this->received += static_cast<std::size_t>(size);
    return true;
  }
  /// Makes the close of the connection reset it, as the end of a process with
  /// unread input does.
  void Reset() const {
    const linger option{.l_onoff = 1, .l_linger = 0};
    setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    shutdown(this->socket, SHUT_RDWR);
  }

  const int socket;
  std::string input;
  std::size_t received = 0;  ///< Bytes that have been read.
  bool is_open = true;       ///< False after the other side's end or reset.
};

using Headers = std::map<std::string, std::string>;  ///< Lower-case names.

/// A request or a response.
struct Message {
  std::string first_line;
  Headers headers;
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
  int Status() const {
    return this->first_line.size() < 12
               ? 0
               : std::atoi(this->first_line.c_str() + 9);
  }
  std::string Path() const {
    const std::size_t start = this->first_line.find(' ') + 1;
    const std::string target = this->first_line.substr(
        start, this->first_line.find(' ', start) - start);
    return target.substr(0, target.find('?'));
  }
};

/// Reads one message, a response with its whole body. @return none if the
/// connection ends or `ms` pass before its end.
inline std::optional<Message> ReadMessage(Connection& connection, int ms) {
  const auto deadline = Clock::now() + milliseconds(ms);
  const auto remaining = [&] {
    return static_cast<int>(std::max<std::int64_t>(
        0, std::chrono::duration_cast<milliseconds>(deadline - Clock::now())
               .count()));
  };
  std::string& input = connection.input;
  std::size_t end = input.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!connection.ReadSome(remaining())) {
      return std::nullopt;
    }
    end = input.find("\r\n\r\n");
  }
  Message message;
  std::istringstream head(input.substr(0, end));
  input.erase(0, end + 4);
  std::string line;
  const auto get_line = [&] {
    const bool has_line = static_cast<bool>(std::getline(head, line));
    if (has_line && line.ends_with('\r')) {
      line.pop_back();
    }
    return has_line;
  };
  get_line();
  message.first_line = line;
  while (get_line()) {
    const std::size_t colon = line.find(':');
    std::string name = line.substr(0, colon);
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers[name] =
        value == std::string::npos ? "" : line.substr(value);
  }
  const auto need = [&](std::size_t size) {
    while (input.size() < size) {
      if (!connection.ReadSome(remaining())) {
        return false;
      }
    }
    return true;
  };
  if (message.Header("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t line_end = input.find("\r\n");
      while (line_end == std::string::npos) {
        if (!connection.ReadSome(remaining())) {
          return std::nullopt;
        }
        line_end = input.find("\r\n");
      }
      const std::size_t size = std::strtoul(input.c_str(), nullptr, 16);
      input.erase(0, line_end + 2);
      if (!need(size + 2)) {
        return std::nullopt;
      }
      message.body += input.substr(0, size);
      input.erase(0, size + 2);
      if (size == 0) {
        return message;
      }
    }
  }
  const std::size_t size =
      std::strtoul(message.Header("content-length").c_str(), nullptr, 10);
  if (!need(size)) {
    return std::nullopt;
  }
  message.body = input.substr(0, size);
  input.erase(0, size);
  return message;
}

/// Formats a request or a response with its length.
inline std::string Format(
    const std::string& first_line,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

/// Sends one request on a connection of its own.
inline std::optional<Message> Call(int port,
                                   const std::string& first_line,
                                   const std::string& body = "") {
  const auto connection = Connection::Open(port);
  if (connection == nullptr ||
      !connection->Write(
          Format(first_line + " HTTP/1.1", {{"Host", Endpoint(port)}}, body))) {
    return std::nullopt;
  }
  return ReadMessage(*connection, 3000);
}

/// Servers state this time in Keep-Alive, and then close an idle connection.
inline constexpr int kIdleTimeoutMs = 5000;

/// Accepts connections and answers requests until it is closed. The handler
/// writes the answer itself and returns whether the connection stays open.
class Server {
 public:
  using Handler = std::function<bool(const Message&, Connection&)>;

  Server(int port, Handler handler) : port(port), handler(std::move(handler)) {}
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server() { this->Close(); }

  void Open() {
    const std::lock_guard lock(this->mutex);
    this->listener = BindLoopback(this->port);
    if (this->listener < 0 || listen(this->listener, 256) != 0) {
      Fail("can't listen on port " + std::to_string(this->port));
    }
    this->is_open = true;
    this->acceptor =
        std::thread([this, socket = this->listener] { this->Accept(socket); });
  }
  /// Resets all connections and refuses new ones, as if the process had ended.
  void Close() {
    {
      const std::lock_guard lock(this->mutex);
      if (!this->is_open) {
        return;
      }
      this->is_open = false;
      shutdown(this->listener, SHUT_RDWR);
      for (Connection* connection : this->connections) {
        connection->Reset();
      }
    }
    if (this->acceptor.joinable()) {
      this->acceptor.join();
    }
    close(this->listener);
    while (this->thread_count > 0) {
      Sleep(1);
    }
  }

  const int port;

 private:
  void Accept(int socket) {
    while (true) {
      const int accepted = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (accepted < 0) {
        return;
      }
      ++this->thread_count;
      std::thread([this, accepted] {
        this->Serve(accepted);
        --this->thread_count;
      }).detach();
    }
  }

  void Serve(int accepted) {
    Connection connection(accepted);
    {
      const std::lock_guard lock(this->mutex);
      if (!this->is_open) {
        return;
      }
      this->connections.insert(&connection);
    }
    bool stays_open = true;
    while (stays_open) {
      const auto request = ReadMessage(connection, kIdleTimeoutMs);
      stays_open = request && this->handler(*request, connection);
    }
    const std::lock_guard lock(this->mutex);
    this->connections.erase(&connection);
  }

  const Handler handler;
  std::mutex mutex;
  std::set<Connection*> connections;
  std::atomic<int> thread_count = 0;
  std::thread acceptor;
  int listener = -1;
  bool is_open = false;
};

/// The platform around the system: the store, the hosts and the registry.
class Platform {
 public:
  /// @param folder a temporary folder for settings and logs.
  /// @param more_ports ports for the case itself.
  Platform(std::string folder, int host_count, int more_ports)
      : folder(std::move(folder)),
        base_port(FindFreePorts(10 + 10 * host_count + more_ports)),
        hosts(static_cast<std::size_t>(host_count)) {
    this->store = Process(
        {"review/build/fake_store", "--listen", Endpoint(this->base_port)}, {},
        this->folder + "/store.log");
    this->WaitFor(this->base_port, "/log-newest?topic=keyed.op&part=0");
  }

  int store_port() const { return this->base_port; }
  int caller_port(int host) const { return this->base_port + 10 + 10 * host; }
  int own_port(int index) const {
    return this->base_port + 10 + 10 * static_cast<int>(this->hosts.size()) +
           index;
  }
  Process& host(int index) {
    return this->hosts[static_cast<std::size_t>(index)];
  }
  std::string HostLog(int index) const {
    return this->folder + "/host-" + std::to_string(index) + ".log";
  }

  /// Writes a keyed record; an empty value deletes the key.
  void Put(const std::string& topic,
           const std::string& key,
           const std::string& value) const {
    Call(this->store_port(), "POST /admin/put?topic=" + topic + "&key=" + key,
         value);
  }

  /// Starts a host with the settings that the platform renders from the
  /// template of the deploy file, and the command there.
  /// @param zone letters that the zones are told apart by.
  void StartHost(int index, const std::string& zone, bool is_first_start) {
    const int port = this->caller_port(index);
    const std::string settings =
        this->folder + "/host-" + std::to_string(index) + ".json";
    std::ofstream(settings)
        << "{\"host\": \"frontend-" << zone << "-" << index
        << "\", \"data_centre\": \"" << zone << "\", \"listen\": \""
        << Endpoint(port) << "\", \"ready_listen\": \"" << Endpoint(port + 1)
        << "\", \"admin_listen\": \"" << Endpoint(port + 2)
        << "\", \"peer_listen\": \"" << Endpoint(port + 3)
        << "\", \"store\": \"" << Endpoint(this->store_port())
        << "\", \"first_start\": " << (is_first_start ? "true" : "false")
        << ", \"cores\": 0.25, \"stop_time\": \"8s\", \"retry_ratio\": 0.2,"
           " \"retry_slack\": 54, \"limit_overshoot\": 0.1,"
           " \"limit_slack\": 7400, \"limit_window\": \"8s\","
           " \"drain_time\": \"2000ms\", \"holder_gap\": \"3000ms\"}\n";
    this->host(index) =
        Process({"target/host/cicadaloft-host"},
                {"CICADALOFT_BOOT=" + settings}, this->HostLog(index));
  }

  void WaitUntilReady(int index) const {
    this->WaitFor(this->caller_port(index) + 1, "/readyz");
  }

 private:
  void WaitFor(int port, const std::string& path) const {
    for (int i = 0; i < 200; ++i) {
      const auto answer = Call(port, "GET " + path);
      if (answer && answer->Status() == 200) {
        return;
      }
      Sleep(50);
    }
    Fail("no answer from " + path);
  }

  const std::string folder;
  const int base_port;
  Process store;
  std::vector<Process> hosts;
};

/// What a case gets from run.sh.
struct CaseOptions {
  std::string folder;  ///< A temporary folder.
  std::string record;  ///< Path of record.txt.
  bool has_trouble = true;
};

inline CaseOptions ReadCaseOptions(int argc, char** argv) {
  if (argc != 3) {
    Fail("usage: CASE TEMPORARY_FOLDER RECORD");
  }
  signal(SIGPIPE, SIG_IGN);
  const char* const trouble = std::getenv("TROUBLE");
  return CaseOptions{
      .folder = argv[1],
      .record = argv[2],
      .has_trouble = trouble == nullptr || std::string(trouble) != "0"};
}

}  // namespace review

#endif  // CICADALOFT_REVIEW_COMMON_HARNESS_H_
