#include "rattanweir/base/asio/asio.h"

#include "programs/rattanweirctl/admin_commands.h"

#include "programs/rattanweirctl/admin_client.h"
#include "rattanweir/connection/http_server/http_server.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <sstream>
#include <thread>

namespace rattanweir::ctl {
namespace {

// Sends the same response to every request and records the last request.
class FixedHandler : public RequestHandler
{
public:
  Task<void> Handle(InboundRequest aRequest,
                    ResponseSink& aSink,
                    CancelSource& /*aCancel*/) override
  {
    m_request = aRequest.m_method + " " + aRequest.m_target;
    ResponseHead head{ .m_status = m_status };
    head.m_contentLength = m_body.size();
    co_await aSink.WriteHead(head);
    co_await aSink.WriteChunk(m_body);
    co_await aSink.Finish();
  }

  unsigned m_status = 200;
  std::string m_body;
  std::string m_request;
};

struct Outcome
{
  ExitCode m_code = ExitCode::Ok;
  std::string m_output;
};

// Runs a command on another thread against a server on this thread.
Outcome
RunAgainst(FixedHandler& aHandler, CommandLine aLine)
{
  asio::io_context context;
  HttpServer server({ .m_executor = context.get_executor(),
                      .m_address = { .m_address = "127.0.0.1" },
                      .m_handler = aHandler });
  server.Start();
  aLine.m_admin = server.LocalEndpoint();
  aLine.m_timeout = std::chrono::seconds(20);
  std::ostringstream out;
  auto command =
    std::async(std::launch::async, [&] { return RunAdminCommand(aLine, out); });
  const auto isDone = [&] {
    return command.wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  };
  while (!isDone()) {
    context.run_for(std::chrono::milliseconds(1));
  }
  return { .m_code = command.get(), .m_output = out.str() };
}

struct ResponseCase
{
  CommandLine m_line;
  unsigned m_status;
  const char* m_body;
  ExitCode m_code;
  const char* m_request;
  const char* m_output;
};

// clang-format off
const ResponseCase kCases[] = {
  { { .m_command = "status" }, 200, R"({"ready":true,"peers":[{"id":"a","n":1},{"id":"b"}],"none":[],"share":0.1,"x":null})",
    ExitCode::Ok, "GET /status", "none: none\npeers:\n  - id: a\n    n: 1\n  - id: b\nready: true\nshare: 0.1\nx: -\n" },
  { { .m_command = "status" }, 200, R"({"ready":false})", ExitCode::NegativeResult, "GET /status", "ready: false\n" },
  { { .m_command = "entries", .m_asJson = true }, 200, R"({"entries":[]})", ExitCode::Ok, "GET /entries", "{\"entries\":[]}\n" },
  { { .m_command = "counters" }, 503, "not now", ExitCode::NegativeResult, "GET /counters", "not now\n" },
  { { .m_command = "drain" }, 202, "{}", ExitCode::Ok, "POST /drain", "none\n" },
  { { .m_command = "explain", .m_route = "r", .m_clientAccount = "a&b=c" }, 200, R"({"result":"rate_exceeded","reasons":["x","y"]})",
    ExitCode::NegativeResult, "GET /explain?route=r&client_account=a%26b%3Dc", "reasons:\n  - x\n  - y\nresult: rate_exceeded\n" },
  { { .m_command = "explain", .m_route = "r" }, 200, R"({"result":"served by s1"})", ExitCode::Ok, "GET /explain?route=r", "result: served by s1\n" },
  { { .m_command = "explain", .m_path = "/v1/chat", .m_model = "m" }, 404, R"({"code":104})", ExitCode::NegativeResult, "GET /explain?path=%2Fv1%2Fchat&model=m", "code: 104\n" },
};
// clang-format on

TEST_CASE("an admin command prints the response and returns the exit code")
{
  for (const ResponseCase& c : kCases) {
    FixedHandler handler;
    handler.m_status = c.m_status;
    handler.m_body = c.m_body;
    CAPTURE(c.m_request, c.m_body);
    const Outcome outcome = RunAgainst(handler, c.m_line);
    CHECK(outcome.m_code == c.m_code);
    CHECK(handler.m_request == c.m_request);
    CHECK(outcome.m_output == c.m_output);
  }
}

TEST_CASE("an instance that does not respond is unreachable")
{
  asio::io_context context;
  FixedHandler handler;
  CommandLine line{ .m_command = "status" };
  line.m_timeout = std::chrono::milliseconds(50);
  std::ostringstream out;
  {
    // The server listens, but accepts no connection because it is not started.
    const HttpServer server({ .m_executor = context.get_executor(),
                              .m_address = { .m_address = "127.0.0.1" },
                              .m_handler = handler });
    line.m_admin = server.LocalEndpoint();
    REQUIRE_THROWS_AS(RunAdminCommand(line, out), AdminUnreachable);
  }
  REQUIRE_THROWS_AS(RunAdminCommand(line, out), AdminUnreachable);
  REQUIRE(out.str().empty());
}

TEST_CASE("an invalid admin command is a usage error")
{
  const CommandLine line = GENERATE(
    CommandLine{ .m_command = "stauts" },
    CommandLine{ .m_command = "status", .m_operands = { "now" } },
    CommandLine{ .m_command = "explain" },
    CommandLine{ .m_command = "explain", .m_route = "r", .m_path = "/p" });
  std::ostringstream out;
  REQUIRE_THROWS_AS(RunAdminCommand(line, out), UsageError);
}

} // namespace
} // namespace rattanweir::ctl
