#define BOOST_TEST_MODULE configuration
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "cicadaloft/configuration/active_configuration.h"

namespace cicadaloft {
namespace {

Route MakeRoute(const std::string& id, const std::string& prefix) {
  return Route{.id = RouteId(id),
               .hostname = "h",
               .path_prefix = prefix,
               .services = {{.service = ServiceId("s")}}};
}

BOOST_AUTO_TEST_CASE(FindRouteReturnsRouteWithLongestPathPrefix) {
  const ActiveConfiguration active(Configuration{
      .routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/")}});
  BOOST_TEST(active.FindRoute("h", "/a/b/c")->id.value() == "long");
  BOOST_TEST(active.FindRoute("h", "/a/bc")->id.value() == "short");
  BOOST_TEST(active.FindRoute("h", "/a/b/")->id.value() == "long");
  BOOST_TEST((active.FindRoute("h", "/a") == nullptr));
  BOOST_TEST((active.FindRoute("h", "/") == nullptr));
  BOOST_TEST((active.FindRoute("h", "") == nullptr));
  BOOST_TEST((active.FindRoute("other", "/a/b/c") == nullptr));
}

BOOST_AUTO_TEST_CASE(CustomerIsFoundByEachOfItsKeys) {
  const ActiveConfiguration active(Configuration{
      .customers = {{.id = CustomerId("c"), .keys = {"k1", "k2"}}}});
  BOOST_TEST(active.FindCustomerByKey("k2")->id.value() == "c");
  BOOST_TEST((active.FindCustomerByKey("k3") == nullptr));
}

BOOST_AUTO_TEST_CASE(ModelIsFoundOnlyInItsService) {
  Engine engine;
  engine.models.push_back(Model{.id = ModelId("m")});
  const ActiveConfiguration active(
      Configuration{.services = {{.id = ServiceId("s"), .engine = engine},
                                 {.id = ServiceId("plain")}}});
  BOOST_TEST((active.FindModel(ServiceId("s"), ModelId("m")) != nullptr));
  BOOST_TEST((active.FindModel(ServiceId("plain"), ModelId("m")) == nullptr));
  BOOST_TEST(active.FindServiceOfModel(ModelId("m"))->id.value() == "s");
}

BOOST_AUTO_TEST_CASE(PickServiceFollowsWeights) {
  Route route = MakeRoute("r", "/");
  route.services = {{.service = ServiceId("a"), .weight = 90},
                    {.service = ServiceId("b"), .weight = 10}};
  std::map<ServiceId, int> counts;
  for (std::uint64_t draw = 0; draw < 1'000'000; draw += 1000) {
    ++counts[PickService(route, draw)];
  }
  BOOST_TEST(counts[ServiceId("a")] == 900);
  BOOST_TEST(counts[ServiceId("b")] == 100);
}

}  // namespace
}  // namespace cicadaloft
