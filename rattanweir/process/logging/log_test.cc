#include "rattanweir/process/logging/log.h"

#include <catch2/catch.hpp>

#include <json/reader.h>

#include <memory>

namespace rattanweir {
namespace {

TEST_CASE("a key=value record quotes what would not read back")
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

TEST_CASE("a JSON record is one object that reads back, without a line break")
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
