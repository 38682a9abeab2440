#include "rattanweir/process/logging/log.h"

#include "rattanweir/process/logging/internal/line_writer.h"
#include "rattanweir/process/logging/internal/record_rate_limiter.h"

#include <catch2/catch.hpp>

#include <json/reader.h>

#include <array>
#include <memory>

#include <unistd.h>

namespace rattanweir {
namespace {

TEST_CASE("a key=value record quotes values that need escaping")
{
  REQUIRE(FormatLogRecord(LogFormat::KeyValue,
                          LogLevel::Warning,
                          "section_rejected",
                          { { "file", "keys.yaml" },
                            { "fault", "line 3: \"x\"\nis unknown" },
                            { "empty", "" } }) ==
          "level=warning event=section_rejected file=keys.yaml "
          R"(fault="line 3: \"x\"\nis unknown" empty="")");
}

TEST_CASE("records above the rate limit are suppressed and counted")
{
  RecordRateLimiter limiter({ .m_perSecond = 10, .m_burst = 3 });
  SteadyTime now{ std::chrono::hours(1) };
  int admitted = 0;
  for (int record = 0; record < 100; ++record) {
    admitted += limiter.Admit("frequent", now) ? 1 : 0;
  }
  CHECK(admitted == 3);
  CHECK(limiter.Admit("rare", now));
  now += std::chrono::milliseconds(150);
  const auto next = limiter.Admit("frequent", now);
  REQUIRE(next);
  CHECK(next->m_suppressed == 97);
}

TEST_CASE("a writer never blocks and keeps lines complete")
{
  std::array<int, 2> pipeFds{};
  REQUIRE(::pipe(pipeFds.data()) == 0);
  LineWriter writer(pipeFds[1]);
  const std::string line(999, 'x');
  std::uint64_t written = 0;
  while (writer.Write(line)) {
    ++written;
  }
  CHECK(written > 10);
  CHECK(writer.DroppedLines() == 1);
  // After the pipe is drained, lines are written again.
  std::string read;
  std::array<char, 4096> buffer{};
  while (read.size() < written * 1000) {
    const ssize_t count = ::read(pipeFds[0], buffer.data(), buffer.size());
    REQUIRE(count > 0);
    read.append(buffer.data(), static_cast<std::size_t>(count));
    writer.Write(line);
  }
  CHECK(read.substr(0, 2000) == line + "\n" + line + "\n");
  ::close(pipeFds[0]);
  ::close(pipeFds[1]);
}

TEST_CASE("a JSON record parses as one object and has no line break")
{
  const std::string record = FormatLogRecord(
    LogFormat::Json, LogLevel::Error, "fault", { { "detail", "a\"b\nc\x01" } });
  REQUIRE(record.find('\n') == std::string::npos);
  const std::string text = "{" + record + "}";
  Json::Value value;
  const std::unique_ptr<Json::CharReader> reader(
    Json::CharReaderBuilder().newCharReader());
  REQUIRE(
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr));
  REQUIRE(value["event"].asString() == "fault");
  REQUIRE(value["detail"].asString() == "a\"b\nc\x01");
}

} // namespace
} // namespace rattanweir
