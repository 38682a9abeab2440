// Slow ends of connections around a planned stop: callers that read slowly,
// peers that send slowly and peers that pause. The instances run as processes
// before a backend server and a store in the test's process.

#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/http_server/http_server.h"
#include "rattanweir/connection/timed_socket/timed_socket.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "rattanweir/request/wait/wait.h"
#include "testing/harness/process.h"
#include "testing/stand_in_store/stand_in_store.h"

#include <catch2/catch.hpp>

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <span>

#include <netinet/tcp.h>
#include <unistd.h>

namespace rattanweir::testing {
namespace {

using asio::ip::tcp;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kShutdownSeconds = 4;
// Less than what an instance waits for after its stop signal.
constexpr milliseconds kLateResponse{ 2'500 };
constexpr std::size_t kPieceBytes = 10'000;

// Responds with as many bytes as the target names, with a length or as an event
// stream; later if the target says so.
class SizedServer final : public RequestHandler
{
public:
  explicit SizedServer(asio::io_context& aContext)
    : m_context(aContext)
    , m_server({ .m_executor = aContext.get_executor(),
                 .m_address = ParseEndpoint("127.0.0.1:0"),
                 .m_handler = *this })
  {
    m_server.Start();
  }

  Endpoint Address() const { return m_server.LocalEndpoint(); }

  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& aCancel) override
  {
    const std::string id =
      *FindHeader(aRequest.m_headers, "Rattanweir-Request-Id");
    const std::string& target = aRequest.m_target;
    const std::size_t size = std::stoul(target.substr(target.rfind('/') + 1));
    if (target.find("/late/") != std::string::npos) {
      co_await WaitFor(m_context.get_executor(), kLateResponse, aCancel);
    }
    ResponseHead head{ .m_status = 200,
                       .m_headers = { { "Rattanweir-Request-Id", id },
                                      { "Rattanweir-Response-Seal", "s" } } };
    if (target.starts_with("/once")) {
      head.m_contentLength = size;
      co_await aSink.WriteHead(std::move(head));
      co_await aSink.WriteChunk(std::string(size, 'x'));
      co_await aSink.Finish();
      co_return;
    }
    head.m_headers.push_back({ "Content-Type", "text/event-stream" });
    co_await aSink.WriteHead(std::move(head));
    for (std::size_t event = 1; event <= size / kPieceBytes; ++event) {
      co_await aSink.WriteChunk("id: " + std::to_string(event) + "\ndata: " +
                                std::string(kPieceBytes, 'x') + "\n\n");
    }
    co_await aSink.Finish();
  }

private:
  asio::io_context& m_context;
  HttpServer m_server;
};

// One instance of the users' platform.
struct Instance
{
  Instance(asio::io_context& aContext,
           const std::string& aName,
           const std::string& aRegion,
           const std::string& aSeed,
           const Endpoint& aStore)
    : m_reserved(aContext, tcp::v4())
    , m_settings(std::filesystem::temp_directory_path() /
                 ("slow_ends_" + std::to_string(::getpid()) + aName + ".yaml"))
  {
    m_reserved.set_option(asio::socket_base::reuse_address(true));
    m_reserved.bind({ asio::ip::address_v4::loopback(), 0 });
    m_peer = FromAsioEndpoint(m_reserved.local_endpoint());
    std::ofstream(m_settings)
      << "instance: " << aName << "\nregion: " << aRegion
      << "\navailability_zone: " << aRegion
      << "-a\naddresses: { caller: \"127.0.0.1:0\", peer: \""
      << m_peer.ToString()
      << "\", admin: \"127.0.0.1:0\" }\nshutdown_timeout_seconds: "
      << kShutdownSeconds << "\nfleet:\n  store: \"" << aStore.ToString()
      << "\"\n  directory_address: \"127.0.0.1:0\"\n"
         "  readiness_address: \"127.0.0.1:0\"\n  seeds: [\""
      << aSeed
      << "\"]\n  availability_zones:\n"
         "    - { id: north-a, region: north }\n"
         "    - { id: south-a, region: south }\n"
         "log: { format: json }\n";
    m_process = std::make_unique<Process>(
      ProcessOptions{ .m_path = RATTANWEIR_DAEMON,
                      .m_arguments = { "--settings", m_settings } });
    const Json::Value started = m_process->WaitForRecord("started");
    m_caller = ParseEndpoint(started["caller"].asString());
  }
  ~Instance() { std::filesystem::remove(m_settings); }
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Holds the port that peers are told, without listening.
  tcp::socket m_reserved;
  std::string m_settings;
  std::unique_ptr<Process> m_process;
  Endpoint m_caller;
  Endpoint m_peer;
};

// The store, the backend server in the region `south`, and the test's tasks.
struct Surroundings
{
  Surroundings()
    : m_store(m_context)
    , m_server(m_context)
  {
    const auto route = [](const std::string& aPrefix,
                          const std::string& aKind) {
      return R"({"name":")" + aPrefix + R"(","host":"h","prefix":")" + aPrefix +
             R"(","kind":")" + aKind +
             R"(","timeoutMs":6000,"targetLatencyMs":2000,"service":"desk",)"
             R"("attempts":1})";
    };
    m_store.Put("op/config",
                R"({"version":1,"routes":[)" +
                  route("/once/", "non_idempotent") + "," +
                  route("/stream/", "streaming") +
                  R"(],"services":[{"name":"desk","maxConnections":1000}]})");
    m_store.Put("servers/s1",
                R"({"service":"desk","address":")" +
                  m_server.Address().ToString() +
                  R"(","zone":"south-a","slots":300,"state":"ready",)"
                  R"("born":1,"sequence":1})");
  }

  void Run(const std::function<Task<void>()>& aTask)
  {
    bool isDone = false;
    asio::co_spawn(
      m_context,
      [&]() -> Task<void> {
        co_await aTask();
        isDone = true;
      },
      [](const std::exception_ptr& aError) {
        if (aError) {
          std::rethrow_exception(aError);
        }
      });
    while (!isDone) {
      m_context.run_one();
    }
  }

  Task<void> Sleep(milliseconds aDuration)
  {
    CancelSource never;
    co_await WaitFor(m_context.get_executor(), aDuration, never);
  }

  Task<void> WaitForExit(Instance& aInstance)
  {
    while (!aInstance.m_process->HasEnded()) {
      co_await Sleep(milliseconds(20));
    }
  }

  // Connects with a small receive buffer and small segments, as over a network.
  Task<tcp::socket> Connect(Endpoint aEndpoint)
  {
    tcp::socket socket(m_context, tcp::v4());
    socket.set_option(asio::socket_base::receive_buffer_size(4096));
    const int segment = 1448;
    ::setsockopt(socket.native_handle(),
                 IPPROTO_TCP,
                 TCP_MAXSEG,
                 &segment,
                 sizeof segment);
    co_await socket.async_connect(ToAsioEndpoint(aEndpoint),
                                  asio::use_awaitable);
    co_return std::move(socket);
  }

  static Task<void> Write(tcp::socket& aSocket, std::string aText)
  {
    co_await asio::async_write(
      aSocket, asio::buffer(aText), asio::use_awaitable);
  }

  static Task<std::string> ReadToEnd(tcp::socket& aSocket)
  {
    std::string text;
    boost::system::error_code error;
    co_await asio::async_read(aSocket,
                              asio::dynamic_buffer(text),
                              asio::redirect_error(asio::use_awaitable, error));
    co_return text;
  }

  // Returns the response, read to the end of its connection.
  Task<std::string> Ask(Endpoint aEndpoint,
                        std::string aTarget,
                        std::string aBody = "")
  {
    tcp::socket socket = co_await Connect(aEndpoint);
    std::string request = RequestText(aTarget, aBody);
    co_await Write(socket, std::move(request));
    std::string text = co_await ReadToEnd(socket);
    co_return text;
  }

  std::string RequestText(const std::string& aTarget, const std::string& aBody)
  {
    return "POST " + aTarget +
           " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
           "Rattanweir-Deadline-Ms: 6000\r\nRattanweir-Request-Id: r" +
           std::to_string(++m_lastId) +
           "\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }

  // Waits until requests are served.
  Task<void> WaitUntilServed(Endpoint aEndpoint)
  {
    for (;;) {
      const std::string response = co_await Ask(aEndpoint, "/once/1");
      if (response.starts_with("HTTP/1.1 200")) {
        co_return;
      }
      co_await Sleep(milliseconds(100));
    }
  }

  asio::io_context m_context;
  StandInStore m_store;
  SizedServer m_server;
  int m_lastId = 0;
};

// Reads the responses and checks that they are complete.
Task<void>
CheckComplete(std::vector<tcp::socket>& aCallers,
              std::span<const std::string> aTargets)
{
  for (std::size_t index = 0; index < aCallers.size(); ++index) {
    const std::string response =
      co_await Surroundings::ReadToEnd(aCallers[index]);
    const std::string& target = aTargets[index];
    const std::size_t size = std::stoul(target.substr(target.rfind('/') + 1));
    CAPTURE(target, response.size());
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.size() > size);
    CHECK((target.starts_with("/once") || response.ends_with("0\r\n\r\n")));
  }
}

// Guards against responses that are cut because their caller reads slowly.
TEST_CASE("a caller receives a finished response after the instance has ended")
{
  const std::string targets[] = {
    "/once/34000", "/once/200000", "/stream/30000", "/stream/200000"
  };
  Surroundings around;
  Instance instance(
    around.m_context, "i1", "south", "127.0.0.1:1", around.m_store.Address());
  around.Run([&]() -> Task<void> {
    co_await around.WaitUntilServed(instance.m_caller);
    std::vector<tcp::socket> callers;
    for (const std::string& target : targets) {
      tcp::socket socket = co_await around.Connect(instance.m_caller);
      std::string request = around.RequestText(target, "");
      co_await around.Write(socket, std::move(request));
      callers.push_back(std::move(socket));
    }
    co_await around.Sleep(milliseconds(200));
    instance.m_process->Signal(SIGTERM);
    co_await around.WaitForExit(instance);
    co_await CheckComplete(callers, targets);
  });
}

// Guards against connections that end while a peer's request is being read.
TEST_CASE("an instance does not end while it reads a request of a peer")
{
  Surroundings around;
  Instance peer(
    around.m_context, "p1", "south", "127.0.0.1:1", around.m_store.Address());
  around.Run([&]() -> Task<void> {
    co_await around.WaitUntilServed(peer.m_caller);
    tcp::socket entry = co_await around.Connect(peer.m_peer);
    const std::string body(1'000, 'x');
    const std::string request = around.RequestText("/once/1", body);
    std::string start = request.substr(0, request.size() - 500);
    std::string rest = request.substr(request.size() - 500);
    co_await around.Write(entry, std::move(start));
    co_await around.Sleep(milliseconds(100));
    peer.m_process->Signal(SIGTERM);
    co_await around.Sleep(milliseconds(2'500));
    CHECK_FALSE(peer.m_process->HasEnded());
    boost::system::error_code ignored;
    co_await asio::async_write(
      entry,
      asio::buffer(rest),
      asio::redirect_error(asio::use_awaitable, ignored));
    const std::string response = co_await Surroundings::ReadToEnd(entry);
    CHECK(response.starts_with("HTTP/1.1 "));
    co_await around.WaitForExit(peer);
  });
}

TEST_CASE("a response over a hop is complete whichever instance stops")
{
  const struct
  {
    std::string m_what;
    bool m_stopsEntry;
    bool m_stopsPeer;
  } rows[] = { { "the peer", false, true },
               { "the entry instance", true, false },
               { "both", true, true } };
  const std::string targets[] = { "/once/late/34000",
                                  "/once/late/200000",
                                  "/stream/late/30000",
                                  "/stream/late/200000" };
  for (const auto& row : rows) {
    CAPTURE(row.m_what);
    Surroundings around;
    Instance peer(
      around.m_context, "p1", "south", "127.0.0.1:1", around.m_store.Address());
    Instance entry(around.m_context,
                   "i1",
                   "north",
                   peer.m_peer.ToString(),
                   around.m_store.Address());
    around.Run([&]() -> Task<void> {
      co_await around.WaitUntilServed(entry.m_caller);
      std::vector<tcp::socket> callers;
      for (const std::string& target : targets) {
        tcp::socket socket = co_await around.Connect(entry.m_caller);
        std::string request = around.RequestText(target, "");
        co_await around.Write(socket, std::move(request));
        callers.push_back(std::move(socket));
      }
      co_await around.Sleep(milliseconds(100));
      if (row.m_stopsEntry) {
        entry.m_process->Signal(SIGTERM);
      }
      if (row.m_stopsPeer) {
        peer.m_process->Signal(SIGTERM);
        co_await around.WaitForExit(peer);
      }
      if (row.m_stopsEntry) {
        co_await around.WaitForExit(entry);
      }
      co_await CheckComplete(callers, targets);
    });
  }
}

// Guards against a pause that is taken for a loss: the body fills the receive
// buffer of the paused peer.
TEST_CASE("a request is served by a peer that pauses for two seconds")
{
  Surroundings around;
  Instance peer(
    around.m_context, "p1", "south", "127.0.0.1:1", around.m_store.Address());
  Instance entry(around.m_context,
                 "i1",
                 "north",
                 peer.m_peer.ToString(),
                 around.m_store.Address());
  around.Run([&]() -> Task<void> {
    co_await around.WaitUntilServed(entry.m_caller);
    peer.m_process->Signal(SIGSTOP);
    std::string response;
    bool isDone = false;
    asio::co_spawn(
      around.m_context,
      [&]() -> Task<void> {
        response = co_await around.Ask(
          entry.m_caller, "/once/1", std::string(900'000, 'x'));
        isDone = true;
      },
      asio::detached);
    co_await around.Sleep(milliseconds(2'000));
    peer.m_process->Signal(SIGCONT);
    while (!isDone) {
      co_await around.Sleep(milliseconds(10));
    }
    CAPTURE(response);
    CHECK(response.starts_with("HTTP/1.1 200"));
  });
}

} // namespace
} // namespace rattanweir::testing
