#include "rattanweir/base/result/result_code.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace rattanweir {
namespace {

// The rows of the page's table, each up to its meaning.
std::vector<std::string>
ReadDocumentedRows()
{
  std::ifstream page(RESULT_CODES_PAGE);
  REQUIRE(page.is_open());
  std::vector<std::string> rows;
  for (std::string line; std::getline(page, line);) {
    if (line.size() < 3 || line[0] != '|' || std::isdigit(line[2]) == 0) {
      continue;
    }
    const std::size_t end = line.rfind('|', line.size() - 2);
    rows.push_back(line.substr(0, end + 1));
  }
  return rows;
}

std::string
RowOf(const ResultInfo& aInfo)
{
  std::ostringstream row;
  row << "| " << static_cast<unsigned>(aInfo.m_code) << " | " << aInfo.m_name
      << " | " << aInfo.m_httpStatus << " | " << RanText(aInfo.m_ran) << " | ";
  if (aInfo.m_retryAfter) {
    row << aInfo.m_retryAfter->count() << " ms |";
  } else {
    row << "never |";
  }
  return row.str();
}

TEST_CASE("the page and the table of result codes agree")
{
  std::vector<std::string> rows;
  for (const ResultInfo& info : AllResults()) {
    rows.push_back(RowOf(info));
  }
  REQUIRE(ReadDocumentedRows() == rows);
}

TEST_CASE("numbers and names of result codes are unique and ascending")
{
  unsigned previous = 0;
  std::set<std::string_view> names;
  for (const ResultInfo& info : AllResults()) {
    const auto number = static_cast<unsigned>(info.m_code);
    REQUIRE((number == 0 || number > previous));
    REQUIRE(names.insert(info.m_name).second);
    REQUIRE(ResultCodeFromNumber(number) == info.m_code);
    previous = number;
  }
  REQUIRE_FALSE(ResultCodeFromNumber(99));
}

TEST_CASE("a refusal before dispatch says no, unless a key had an earlier use")
{
  const std::set<ResultCode> codesAfterEarlierUse = {
    ResultCode::IdempotencyKeyExpired,
    ResultCode::IdempotencyKeyMismatch,
  };
  for (const ResultInfo& info : AllResults()) {
    const auto number = static_cast<unsigned>(info.m_code);
    if (number < 100 || number >= 400) {
      continue;
    }
    CAPTURE(info.m_name);
    const bool mayHaveRun = codesAfterEarlierUse.contains(info.m_code);
    REQUIRE(info.m_ran == (mayHaveRun ? Ran::Maybe : Ran::No));
  }
}

TEST_CASE("the words for ran read back")
{
  REQUIRE(RanFromText("maybe") == Ran::Maybe);
  REQUIRE_FALSE(RanFromText("perhaps"));
}

} // namespace
} // namespace rattanweir
