#include "rattanweir/process/idempotency/idempotency_key.h"

#include "rattanweir/base/result/result_code.h"

#include <catch2/catch.hpp>

#include <stdexcept>

namespace rattanweir {
namespace {

const std::string kNonce = "00112233445566778899aabbccddeeff";
const std::string kText = "k1.00000000000000a7." + kNonce + ".ostland-1";

TEST_CASE("a key round-trips through its text form")
{
  const IdempotencyKey key{ .m_owner = InstanceId("ostland-1"),
                            .m_incarnation = Incarnation(0xa7),
                            .m_nonce = kNonce };
  REQUIRE(key.ToString() == kText);
  REQUIRE(ParseIdempotencyKey(kText) == key);
}

TEST_CASE("a text that ToString does not produce is rejected")
{
  const std::string owner(kMaxIdempotencyKeyBytes, 'a');
  const std::string text =
    GENERATE_COPY(std::string(),
                  std::string("k1."),
                  "k2." + kText.substr(3),
                  kText.substr(0, kText.rfind('.')),
                  kText.substr(0, kText.rfind('.') + 1),
                  kText + " ",
                  " " + kText,
                  kText + std::string(1, '\0'),
                  kText + "\r\nx: y",
                  "k1.00000000000000A7." + kNonce + ".ostland-1",
                  "k1.0x000000000000a7." + kNonce + ".ostland-1",
                  "k1.-0000000000000a7." + kNonce + ".ostland-1",
                  "k1.00000000000000a70" + kNonce + ".ostland-1",
                  "k1.00000000000000a7." + kNonce + "0.ostland-1",
                  "k1.00000000000000a7." + kNonce.substr(1) + ".ostland-1",
                  "k1.00000000000000a7." + kNonce + "." + owner);
  CAPTURE(text);
  try {
    ParseIdempotencyKey(text);
    FAIL("accepted a malformed key");
  } catch (const RequestError& error) {
    REQUIRE(error.Code() == ResultCode::IdempotencyKeyMalformed);
    REQUIRE(error.HasRun() == Ran::No);
  }
}

TEST_CASE("a key that could not be parsed back has no text form")
{
  const std::string nonce = GENERATE(as<std::string>(), "", "00", kNonce);
  const std::string owner =
    GENERATE(as<std::string>(), "", "a b", std::string(200, 'a'));
  const IdempotencyKey key{ .m_owner = InstanceId(owner), .m_nonce = nonce };
  REQUIRE_THROWS_AS(key.ToString(), std::invalid_argument);
}

} // namespace
} // namespace rattanweir
