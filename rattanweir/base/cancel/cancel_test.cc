#include "rattanweir/base/cancel/cancel.h"

#include <catch2/catch.hpp>

#include <optional>

namespace rattanweir {
namespace {

TEST_CASE("the first reason is kept and each callback runs once")
{
  CancelSource cancel;
  int calls = 0;
  const auto registration = cancel.OnCancel([&] { ++calls; });
  cancel.Cancel(ResultCode::KeyWithdrawn);
  cancel.Cancel(ResultCode::CallerGone);
  REQUIRE(cancel.Reason() == ResultCode::KeyWithdrawn);
  REQUIRE(calls == 1);
}

TEST_CASE("an unregistered callback does not run")
{
  CancelSource cancel;
  int calls = 0;
  {
    const auto registration = cancel.OnCancel([&] { ++calls; });
  }
  cancel.Cancel(ResultCode::CallerGone);
  REQUIRE(calls == 0);
}

TEST_CASE("a callback registered after Cancel runs immediately")
{
  CancelSource cancel;
  cancel.Cancel(ResultCode::CallerGone);
  int calls = 0;
  const auto registration = cancel.OnCancel([&] { ++calls; });
  REQUIRE(calls == 1);
}

TEST_CASE("a moved or assigned registration unregisters only its own callback")
{
  CancelSource cancel;
  int first = 0;
  int second = 0;
  auto registration = cancel.OnCancel([&] { ++first; });
  registration = cancel.OnCancel([&] { ++second; });
  auto moved = std::move(registration);
  cancel.Cancel(ResultCode::CallerGone);
  REQUIRE(first == 0);
  REQUIRE(second == 1);
}

TEST_CASE("a registration may outlive its source")
{
  std::optional<CancelSource::Registration> registration;
  {
    CancelSource cancel;
    registration = cancel.OnCancel([] {});
  }
  registration.reset();
}

TEST_CASE("a check cancels the source before its cause is reported")
{
  CancelSource cancel;
  CHECK(cancel.CheckNow() == std::nullopt);
  bool isClosed = false;
  cancel.SetCheck([&] {
    if (isClosed) {
      cancel.Cancel(ResultCode::CallerGone);
    }
  });
  CHECK(cancel.CheckNow() == std::nullopt);
  isClosed = true;
  CHECK(cancel.Reason() == std::nullopt);
  CHECK(cancel.CheckNow() == ResultCode::CallerGone);
  CHECK(cancel.Reason() == ResultCode::CallerGone);
}

TEST_CASE("a check that was removed is not called")
{
  CancelSource cancel;
  cancel.SetCheck([&] { cancel.Cancel(ResultCode::CallerGone); });
  cancel.SetCheck({});
  CHECK(cancel.CheckNow() == std::nullopt);
}

} // namespace
} // namespace rattanweir
