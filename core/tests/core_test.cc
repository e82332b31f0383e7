#define BOOST_TEST_MODULE core
#include <array>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "cicadaloft/core/error_kind.h"
#include "cicadaloft/core/id.h"
#include "cicadaloft/core/rendezvous.h"
#include "cicadaloft/core/sha256.h"

namespace cicadaloft {
namespace {

constexpr int kErrorKinds = static_cast<int>(ErrorKind::kInternal) + 1;

BOOST_AUTO_TEST_CASE(EveryErrorKindHasItsOwnRowAndToken) {
  std::set<std::string_view> tokens;
  for (int i = 0; i < kErrorKinds; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    const ErrorAnswer& answer = AnswerFor(kind);
    BOOST_TEST((answer.kind == kind));
    BOOST_TEST((ErrorKindFromToken(answer.token) == kind));
    tokens.insert(answer.token);
  }
  BOOST_TEST(tokens.size() == kErrorKinds);
  BOOST_TEST(!ErrorKindFromToken("no such token").has_value());
}

BOOST_AUTO_TEST_CASE(RendezvousMovesOnlyTheLostMembersKeys) {
  const std::array<std::string, 4> all = {"a", "b", "c", "d"};
  const std::array<std::string, 3> fewer = {"a", "b", "c"};
  const auto name = [](const std::string& member) { return member; };
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = std::to_string(i);
    const std::string before = *PickByRendezvous(key, all, name);
    const std::string after = *PickByRendezvous(key, fewer, name);
    moved += before != after ? 1 : 0;
    BOOST_TEST((before == "d" || before == after));
  }
  BOOST_TEST(moved > 150);
  BOOST_TEST(moved < 350);
}

BOOST_AUTO_TEST_CASE(Sha256OfTheEmptyText) {
  BOOST_TEST(
      Sha256Hex("") ==
      "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  BOOST_TEST(EqualInConstantTime("abc", "abc"));
  BOOST_TEST(!EqualInConstantTime("abc", "abd"));
  BOOST_TEST(!EqualInConstantTime("abc", "abcd"));
}

}  // namespace
}  // namespace cicadaloft
