#define BOOST_TEST_MODULE host_settings
#include "host_settings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace cicadaloft {
namespace {

using nlohmann::json;

/// Renders the platform's templates: sections, fields and fields as JSON.
class TemplateRenderer {
 public:
  explicit TemplateRenderer(json fields) : fields(std::move(fields)) {}

  /// @param comma what {{,}} stands for: nothing after the last entry.
  std::string Render(std::string_view text,
                     const json* entry = nullptr,
                     std::string_view comma = "") const {
    std::string rendered;
    while (true) {
      const std::size_t open = text.find("{{");
      rendered += text.substr(0, open);
      if (open == std::string_view::npos) {
        return rendered;
      }
      const std::size_t close = text.find("}}", open);
      const std::string tag(text.substr(open + 2, close - open - 2));
      text.remove_prefix(close + 2);
      if (tag.starts_with('#')) {
        const std::string end = "{{/" + tag.substr(1) + "}}";
        const std::size_t length = text.find(end);
        rendered += this->RenderSection(tag.substr(1), text.substr(0, length));
        text.remove_prefix(length + end.size());
      } else {
        rendered += tag == "."   ? entry->get<std::string>()
                    : tag == "," ? std::string(comma)
                                 : this->Field(tag);
      }
    }
  }

 private:
  const json* Find(std::string path) const {
    std::ranges::replace(path, '.', '/');
    const json::json_pointer pointer("/" + path);
    return this->fields.contains(pointer) ? &this->fields.at(pointer) : nullptr;
  }

  std::string Field(const std::string& tag) const {
    const std::size_t bar = tag.find('|');
    const json* const value = this->Find(tag.substr(0, bar));
    BOOST_REQUIRE_MESSAGE(value != nullptr, "no field " << tag);
    return bar == std::string::npos && value->is_string()
               ? value->get<std::string>()
               : value->dump();
  }

  std::string RenderSection(const std::string& path,
                            std::string_view text) const {
    const json* const value = this->Find(path);
    if (value == nullptr) {
      return "";
    }
    if (!value->is_array()) {
      return this->Render(text);
    }
    std::string rendered;
    for (const json& entry : *value) {
      rendered +=
          this->Render(text, &entry, &entry == &value->back() ? "" : ",");
    }
    return rendered;
  }

  json fields;
};

json PlatformFields() {
  return json::parse(R"({
    "node_name": "recife-1", "zone": "recife-a", "ip": "127.0.0.1",
    "listen": {"frontend": "127.0.0.1:7001", "ready": "127.0.0.1:7002"},
    "port_range": [7003, 7004], "platform": {"address": "127.0.0.1:7005"},
    "bootstrap": true, "limits": {"cpu_fraction": 0.12},
    "bounds": {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 50,
               "quota_overshoot": 0.1, "quota_slack": 7500,
               "quota_window_s": 8, "drain_ms": 3000, "lease_ms": 3000,
               "usage_window_s": 5, "usage_delay_s": 10}})");
}

Result<HostSettings> ReadRendered(const json& fields) {
  std::ifstream file(CICADALOFT_SETTINGS_TEMPLATE);
  BOOST_REQUIRE(file.good());
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return ReadHostSettings(SettingsReader::FromText(
      "s.json", TemplateRenderer(fields).Render(text)));
}

std::string ErrorOrOk(const Result<HostSettings>& settings) {
  return IsOk(settings) ? "ok" : ErrorOf(settings).message;
}

json CloudApi(const json& duties) {
  return json{
      {"address", "127.0.0.1:7005"}, {"duties", duties}, {"duty_per_s", 50}};
}

// Guards against duties where the platform has no use for them.
BOOST_AUTO_TEST_CASE(WithoutCloudApiThereAreNoDuties) {
  const auto settings = ReadRendered(PlatformFields());
  BOOST_REQUIRE_EQUAL(ErrorOrOk(settings), "ok");
  BOOST_TEST(!ValueOf(settings).duties.has_value());
}

// Guards against a template whose rendering is no valid settings file. The
// platform's two addresses may be the same one.
BOOST_AUTO_TEST_CASE(DutiesAreReadFromTheRenderedTemplate) {
  json fields = PlatformFields();
  fields["cloud_api"] = CloudApi({"usage", "scaling"});
  const auto settings = ReadRendered(fields);
  BOOST_REQUIRE_EQUAL(ErrorOrOk(settings), "ok");
  BOOST_TEST((ValueOf(settings).duties ==
              DutySettings{.address = "127.0.0.1:7005",
                           .calls_per_second = 50,
                           .usage_reports = true,
                           .scaling = true,
                           .usage_window = std::chrono::seconds(5),
                           .usage_delay = std::chrono::seconds(10)}));
}

BOOST_AUTO_TEST_CASE(DutiesThatAreNotListedAreOff) {
  json fields = PlatformFields();
  fields["cloud_api"] = CloudApi({"usage"});
  const auto one = ReadRendered(fields);
  BOOST_REQUIRE(IsOk(one));
  BOOST_TEST(ValueOf(one).duties->usage_reports);
  BOOST_TEST(!ValueOf(one).duties->scaling);
  fields["cloud_api"] = CloudApi(json::array());
  const auto none = ReadRendered(fields);
  BOOST_REQUIRE(IsOk(none));
  BOOST_TEST(!ValueOf(none).duties->usage_reports);
}

// Guards against a host that doesn't start where the platform lists a duty that
// this version doesn't know, or states no bounds of reports.
BOOST_AUTO_TEST_CASE(UnknownDutiesAndMissingBoundsAreAccepted) {
  json fields = PlatformFields();
  fields["cloud_api"] = CloudApi({"scaling", "backups"});
  fields["bounds"].erase("usage_window_s");
  fields["bounds"].erase("usage_delay_s");
  fields["cloud_api"].erase("duty_per_s");
  const auto settings = ReadRendered(fields);
  BOOST_REQUIRE_EQUAL(ErrorOrOk(settings), "ok");
  BOOST_TEST(ValueOf(settings).duties->scaling);
  BOOST_TEST(!ValueOf(settings).duties->usage_reports);
}

// Guards against hosts of the platform that take no forwarded requests, and
// against a listener on a port that the platform has not reserved.
BOOST_AUTO_TEST_CASE(ForwardListenIsTheLastPortButOneOfTheRange) {
  const auto forward_listen = [](int first, int last, int listen = 7001) {
    json fields = PlatformFields();
    fields["port_range"] = {first, last};
    fields["listen"]["frontend"] = "127.0.0.1:" + std::to_string(listen);
    const auto settings = ReadRendered(fields);
    BOOST_REQUIRE_EQUAL(ErrorOrOk(settings), "ok");
    BOOST_TEST(ValueOf(settings).is_forward_listen_default);
    return ValueOf(settings).forward_listen;
  };
  BOOST_TEST(forward_listen(7600, 7699) == "127.0.0.1:7698");
  BOOST_TEST(forward_listen(7600, 7602) == "127.0.0.1:7601");
  BOOST_TEST(forward_listen(7600, 7601).empty());
  BOOST_TEST(forward_listen(7601, 7600).empty());
  BOOST_TEST(forward_listen(7600, 7602, 7601).empty());
}

/// @return the settings with this `forward_listen`.
Result<HostSettings> ReadWithForwardListen(const std::string& address) {
  const std::string text = R"({
    "host": "a", "data_centre": "b", "listen": "127.0.0.1:1",
    "ready_listen": "127.0.0.1:2", "admin_listen": "127.0.0.1:3",
    "peer_listen": "127.0.0.1:9", "store": "127.0.0.1:5",
    "forward_listen": ")" + address +
                           "\"}";
  return ReadHostSettings(SettingsReader::FromText("s.json", text));
}

// Guards against an address that is written down and not used.
BOOST_AUTO_TEST_CASE(ForwardListenOfTheFileIsTaken) {
  const auto settings = ReadWithForwardListen("127.0.0.1:4");
  BOOST_REQUIRE_EQUAL(ErrorOrOk(settings), "ok");
  BOOST_TEST(ValueOf(settings).forward_listen == "127.0.0.1:4");
  BOOST_TEST(!ValueOf(settings).is_forward_listen_default);
  BOOST_TEST(ErrorOrOk(ReadWithForwardListen("127.0.0.1:9")) ==
             "s.json: forward_listen: expected an address other than that of "
             "\"peer_listen\"");
  BOOST_TEST(ErrorOrOk(ReadWithForwardListen("nowhere"))
                 .starts_with("s.json: forward_listen: expected an IPv4"));
}

/// @return the error with this section, in settings that are valid otherwise.
std::string ErrorWith(const json& duties) {
  json root = json::parse(R"({
    "host": "a", "data_centre": "b", "listen": "127.0.0.1:1",
    "ready_listen": "127.0.0.1:2", "admin_listen": "127.0.0.1:3",
    "peer_listen": "127.0.0.1:4", "store": "127.0.0.1:5"})");
  root["duties"] = duties;
  const auto settings =
      ReadHostSettings(SettingsReader::FromText("s.json", root.dump()));
  return ErrorOrOk(settings);
}

// Guards against a host that starts with duties that it can't do.
BOOST_AUTO_TEST_CASE(InvalidDutiesAreRefusedWithTheField) {
  json valid = {{"address", "127.0.0.1:9"},
                {"calls_per_second", 50},
                {"names", {"usage"}}};
  BOOST_TEST(ErrorWith(valid) == "ok");
  const auto error_with = [&](const char* field, const json& value) {
    json changed = valid;
    changed[field] = value;
    return ErrorWith(changed);
  };
  const auto names = [&](const char* field, const json& value) {
    return error_with(field, value)
        .starts_with("s.json: duties." + std::string(field) + ": expected");
  };
  BOOST_TEST(names("address", "nowhere"));
  BOOST_TEST(names("calls_per_second", 0));
  BOOST_TEST(names("calls_per_second", -1));
  BOOST_TEST(names("names", "usage"));
  BOOST_TEST(names("names", json::array({1})));
  BOOST_TEST(names("names", true));
  BOOST_TEST(names("usage_window", "1ms"));
  BOOST_TEST(names("usage_delay", "100ms"));
  BOOST_TEST(names("other", true));
  BOOST_TEST(ErrorWith(5) == "s.json: duties: expected an object");
  valid.erase("address");
  BOOST_TEST(ErrorWith(valid).starts_with("s.json: duties.address: expected"));
}

}  // namespace
}  // namespace cicadaloft
