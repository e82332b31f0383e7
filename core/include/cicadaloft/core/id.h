#ifndef CICADALOFT_CORE_ID_H_
#define CICADALOFT_CORE_ID_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace cicadaloft {

/// A name that can only be compared with names of the same kind.
/// @tparam Tag distinguishes the kinds; it is never defined.
template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text(std::move(text)) {}

  /// @return the name as written in configurations and settings.
  const std::string& value() const { return this->text; }
  bool empty() const { return this->text.empty(); }

  friend auto operator<=>(const Id&, const Id&) = default;
  friend bool operator==(const Id&, const Id&) = default;

 private:
  std::string text;
};

using AdapterId = Id<struct AdapterTag>;
using CustomerId = Id<struct CustomerTag>;
using DataCentreId = Id<struct DataCentreTag>;
using HostId = Id<struct HostTag>;
using ModelId = Id<struct ModelTag>;  ///< A base model.
using RequestId = Id<struct RequestTag>;
using RouteId = Id<struct RouteTag>;
/// A group of targets that serve the same routes.
using ServiceId = Id<struct ServiceTag>;
/// Version of a target's software, without an order. Empty: not known.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using TargetId = Id<struct TargetTag>;

/// A number that can only be compared with numbers of the same kind.
template <typename Tag>
class Number {
 public:
  constexpr Number() = default;
  constexpr explicit Number(std::uint64_t number) : number(number) {}

  constexpr std::uint64_t value() const { return this->number; }
  /// @return the number after this one.
  constexpr Number Next() const { return Number(this->number + 1); }

  friend constexpr auto operator<=>(const Number&, const Number&) = default;
  friend constexpr bool operator==(const Number&, const Number&) = default;

 private:
  std::uint64_t number = 0;
};

/// Position of a record in the append-only log; the first record is at 0.
using LogOffset = Number<struct LogOffsetTag>;
/// Rises by one each time the store comes back from an older copy of its logs:
/// offsets of different eras can't be compared. 0: the store states none.
using StoreEra = Number<struct StoreEraTag>;
using ConfigurationVersion = Number<struct ConfigurationVersionTag>;
/// Offset of the record that granted a lease; a higher token invalidates all
/// lower ones.
using FencingToken = Number<struct FencingTokenTag>;
/// Distinguishes the successive processes of one target.
using TargetInstance = Number<struct TargetInstanceTag>;
/// Counts the orders that a target has accepted.
using OrderSequence = Number<struct OrderSequenceTag>;
using AttemptNumber = Number<struct AttemptNumberTag>;

}  // namespace cicadaloft

#endif  // CICADALOFT_CORE_ID_H_
