#ifndef CICADALOFT_ADMISSION_SHARE_JSON_H_
#define CICADALOFT_ADMISSION_SHARE_JSON_H_

#include <tuple>

#include "cicadaloft/admission/share_messages.h"
#include "cicadaloft/codec/json_containers.h"

namespace cicadaloft {

template <>
inline constexpr auto kJsonFields<GrantedShare> =
    std::tuple(Required("customer", &GrantedShare::customer),
               Required("share", &GrantedShare::share));
template <>
inline constexpr bool kIsJsonRow<GrantedShare> = true;

template <>
inline constexpr auto kJsonFields<LimitUsage> =
    std::tuple(Required("listed", &LimitUsage::listed),
               Required("others", &LimitUsage::max_unlisted));

template <>
inline constexpr auto kJsonFields<PastCharge> =
    std::tuple(Required("age", &PastCharge::age),
               Required("cost", &PastCharge::cost));
template <>
inline constexpr bool kIsJsonRow<PastCharge> = true;

template <>
inline constexpr auto kJsonFields<CustomerCharges> =
    std::tuple(Required("customer", &CustomerCharges::customer),
               Required("charges", &CustomerCharges::charges));

template <>
inline constexpr auto kJsonFields<QuotaHistory> =
    std::tuple(Required("host", &QuotaHistory::host),
               Required("customers", &QuotaHistory::customers));

}  // namespace cicadaloft

#endif  // CICADALOFT_ADMISSION_SHARE_JSON_H_
