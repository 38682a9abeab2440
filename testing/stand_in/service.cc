// Stand-in for a plain service whose requests are not idempotent: accepts
// bookings and counts the runs of each request id.
//
//   stand_in_service --port 0
//
// Switches: delay MS (before the run), answer_late MS (after the run),
// reset_before_run, reset_after_run, short_answer (truncates the response after
// the run), refuse_not_run, draining, wrong_attempt_id.

#include "testing/stand_in/stand_in.h"

#include <gflags/gflags.h>

#include <chrono>

DEFINE_int32(port, 0, "TCP port; 0 selects a free port");
DEFINE_string(switches, "[]", "fault switches set at startup, as JSON");

namespace rattanweir::testing {

namespace {

// Counts the runs of each request id. Thread-safe.
class RunCounter
{
public:
  std::int64_t Add(const std::string& aRequest)
  {
    const std::lock_guard lock(m_mutex);
    ++m_total;
    return ++m_byRequest[aRequest];
  }
  std::int64_t Total()
  {
    const std::lock_guard lock(m_mutex);
    return m_total;
  }

private:
  std::mutex m_mutex;
  std::map<std::string, std::int64_t> m_byRequest;
  std::int64_t m_total = 0;
};

Switches&
GlobalSwitches()
{
  static Switches switches;
  return switches;
}

HttpFields
Head(const HttpRequest& aRequest)
{
  const bool isWrong = GlobalSwitches().Consume("wrong_attempt_id").has_value();
  HttpFields fields = {
    { .m_name = "content-type", .m_value = "application/json" },
    { .m_name = "x-attempt-id",
      .m_value = isWrong ? "another-attempt"
                         : FieldOf(aRequest.m_headers, "x-attempt-id") },
    { .m_name = "x-load", .m_value = "1" },
  };
  if (GlobalSwitches().Consume("draining")) {
    fields.push_back({ .m_name = "x-draining", .m_value = "1" });
  }
  return fields;
}

void
DelayIfOn(const std::string& aSwitch, HttpResponder& aResponder)
{
  if (const auto wait = GlobalSwitches().Consume(aSwitch)) {
    aResponder.WaitForPeerClose(std::chrono::milliseconds(*wait));
  }
}

void
Book(const HttpRequest& aRequest, HttpResponder& aResponder)
{
  static RunCounter runs;
  if (GlobalSwitches().Consume("refuse_not_run")) {
    HttpFields head = Head(aRequest);
    head.push_back({ .m_name = "x-not-run", .m_value = "1" });
    aResponder.Respond(503, head, "{}");
    return;
  }
  DelayIfOn("delay", aResponder);
  if (GlobalSwitches().Consume("reset_before_run")) {
    aResponder.AbortConnection();
    return;
  }
  const std::string request = FieldOf(aRequest.m_headers, "x-request-id");
  Json::Value record;
  record["request"] = request;
  record["attempt"] = FieldOf(aRequest.m_headers, "x-attempt-id");
  record["client_account"] = FieldOf(aRequest.m_headers, "x-client-account");
  record["body"] = aRequest.m_body;
  record["runs"] = Json::Int64(runs.Add(request));
  PrintRecord("run", record);
  DelayIfOn("answer_late", aResponder);
  if (GlobalSwitches().Consume("reset_after_run")) {
    aResponder.AbortConnection();
    return;
  }
  Json::Value body;
  body["echo"] = aRequest.m_body;
  body["run"] = Json::Int64(runs.Total());
  const std::string text = WriteJson(body);
  if (GlobalSwitches().Consume("short_answer")) {
    aResponder.WriteRaw("HTTP/1.1 200 OK\r\nx-attempt-id: " +
                        FieldOf(aRequest.m_headers, "x-attempt-id") +
                        "\r\ncontent-length: " + std::to_string(text.size()) +
                        "\r\n\r\n" + text.substr(0, text.size() / 2));
    aResponder.AbortConnection();
    return;
  }
  aResponder.Respond(200, Head(aRequest), text);
}

} // namespace

} // namespace rattanweir::testing

int
main(int argc, char** argv)
{
  using namespace rattanweir::testing;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  GlobalSwitches().Set(FLAGS_switches);
  RunStandIn(static_cast<std::uint16_t>(FLAGS_port), GlobalSwitches(), Book);
}
