#include "rattanweir/base/result/result_code.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <set>
#include <sstream>
#include <vector>

namespace rattanweir {
namespace {

// Returns the table rows of docs/RESULT_CODES.md without their last column, the
// meaning.
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

TEST_CASE("the documented result codes match the table")
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

TEST_CASE(
  "a refusal before dispatch has Ran::No, unless its key was used before")
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

TEST_CASE("RanFromText parses valid texts only")
{
  REQUIRE(RanFromText("maybe") == Ran::Maybe);
  REQUIRE_FALSE(RanFromText("perhaps"));
}

} // namespace
} // namespace rattanweir
