#include "rattanweir/base/json/json.h"

#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace rattanweir {
namespace {

// Built once: JsonCpp stores the reader settings as a JSON value, and building
// that value costs more than parsing a small text.
const Json::CharReaderBuilder&
ReaderBuilder()
{
  static const Json::CharReaderBuilder builder = [] {
    Json::CharReaderBuilder strict;
    Json::CharReaderBuilder::strictMode(&strict.settings_);
    strict["strictRoot"] = false;
    strict["stackLimit"] = kMaximumJsonDepth;
    return strict;
  }();
  return builder;
}

const Json::StreamWriterBuilder&
WriterBuilder()
{
  static const Json::StreamWriterBuilder builder = [] {
    Json::StreamWriterBuilder compact;
    compact["indentation"] = "";
    return compact;
  }();
  return builder;
}

} // namespace

std::optional<Json::Value>
ParseJson(std::string_view aText)
{
  const std::unique_ptr<Json::CharReader> reader(
    ReaderBuilder().newCharReader());
  Json::Value value;
  std::string ignored;
  try {
    const char* const begin = aText.data();
    if (reader->parse(begin, begin + aText.size(), &value, &ignored)) {
      return value;
    }
  } catch (const Json::Exception&) {
    // The reader throws if the value is nested too deeply.
  }
  return std::nullopt;
}

std::string
JsonText(const Json::Value& aValue)
{
  return Json::writeString(WriterBuilder(), aValue);
}

} // namespace rattanweir
