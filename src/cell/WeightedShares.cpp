#include "src/cell/WeightedShares.h"

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace crocuslever::cell {

/// A team of weight 0 still gets something, after all others.
static constexpr double kLeastWeight = 1e-6;

static double weightOf(const WeightedClaim& claim) { return std::max(claim.weight, kLeastWeight); }

std::vector<double> divideByWeight(const std::vector<WeightedClaim>& claims, double total)
{
    // In the order in which a rising amount per weight satisfies the claims.
    std::vector<std::size_t> order(claims.size());
    std::iota(order.begin(), order.end(), std::size_t { 0 });
    std::sort(order.begin(), order.end(), [&claims](std::size_t a, std::size_t b) { return claims[a].amount / weightOf(claims[a]) < claims[b].amount / weightOf(claims[b]); });
    double weights = 0.0;
    for (const WeightedClaim& claim : claims)
        weights += weightOf(claim);
    std::vector<double> amounts(claims.size(), 0.0);
    double left = std::max(total, 0.0);
    for (std::size_t n : order) {
        double share = weights > 0.0 ? left * weightOf(claims[n]) / weights : 0.0;
        amounts[n] = std::min(claims[n].amount, share);
        left -= amounts[n];
        weights -= weightOf(claims[n]);
    }
    return amounts;
}

} // namespace crocuslever::cell
