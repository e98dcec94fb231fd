#include "src/cell/InterferenceModel.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace crocuslever::cell {

/// Interference changes within seconds, but a pair is seen on few upstreams at a time.
static constexpr double kHalfLifeSeconds = 20.0;
static constexpr std::size_t kMaxPairs = 4096; ///< Bounds the memory.
/// Decayed samples on either side before they count as evidence.
static constexpr double kMinWeight = 6.0;
/// The difference has to exceed this many standard errors, which allows for samples that depend on each other.
static constexpr double kMinStandardErrors = 3.0;
/// A smaller growth is lost in the noise of tails and doesn't justify another place.
static constexpr double kMinGrowth = 0.15;
/// A bad pair counts as such until its growth is below this, so that it doesn't flap.
static constexpr double kMinGrowthOfBadPair = 0.08;
static constexpr double kMinTail = 0.001; ///< Of the target; keeps the logarithm finite.
/// The effect of a change shows in a tail over half a second, 100 ms after the order.
static constexpr Duration kSettleTime = std::chrono::milliseconds(650);
static constexpr double kAimedTail = 0.9; ///< Of the target, by the predicted tail at a new pace.
static constexpr double kClearTail = 0.8; ///< The pace rises only while all tails are below.
static constexpr int kClearReadings = 2;
static constexpr int kRaise = 20; ///< Percent.
static constexpr int kFirstPace = 40; ///< Percent, while the pairs are not known well enough. The next step is 0.
static constexpr int kCeilingMargin = 10; ///< Percent below a pace that was too fast.
static constexpr Duration kCeilingTime = std::chrono::seconds(10);
static constexpr int kUselessReadings = 2;
/// A task that can be helped again meanwhile is over its target for this long, the next reading and its half second: under 4 s.
static constexpr Duration kReleaseTime = std::chrono::milliseconds(2500);
static constexpr int kFullPace = 100; // percent

static double decayOver(Duration age)
{
    return std::exp2(-std::chrono::duration<double>(age).count() / kHalfLifeSeconds);
}

static TailSamples decayed(const TailSamples& samples, TimePoint now)
{
    double factor = decayOver(now - samples.at);
    return { samples.weight * factor, samples.sum * factor, samples.squares * factor, samples.exposure * factor, now, samples.isBad };
}

static TailSamples find(const LearnedPairs& pairs, const ImagePair& pair, TimePoint now)
{
    auto it = pairs.find(pair);
    return it == pairs.end() ? TailSamples {} : decayed(it->second, now);
}

static double mean(const TailSamples& samples) { return samples.sum / samples.weight; }

/// Squared standard error of the mean.
static double squaredError(const TailSamples& samples)
{
    double variance = std::max(samples.squares / samples.weight - mean(samples) * mean(samples), 0.0);
    return variance / samples.weight;
}

/// Forgets the pair with the least weight.
static void makeRoom(LearnedPairs& pairs, TimePoint now)
{
    auto least = std::min_element(pairs.begin(), pairs.end(), [now](const auto& a, const auto& b) { return decayed(a.second, now).weight < decayed(b.second, now).weight; });
    pairs.erase(least);
}

static void addSample(LearnedPairs& pairs, const ImagePair& pair, double tail, double exposure, TimePoint now)
{
    if (pairs.count(pair) == 0 && pairs.size() >= kMaxPairs)
        makeRoom(pairs, now);
    TailSamples samples = find(pairs, pair, now);
    double value = std::log(std::max(tail, kMinTail));
    samples.weight += 1.0;
    samples.sum += value;
    samples.squares += value * value;
    samples.exposure += exposure;
    samples.at = now;
    pairs[pair] = samples;
}

std::optional<double> estimateGrowth(const LearnedPairs& pairs, const ImagePair& pair, TimePoint now)
{
    TailSamples with = find(pairs, pair, now);
    TailSamples alone = find(pairs, { pair.first, "" }, now);
    if (with.weight < kMinWeight || alone.weight < kMinWeight || with.exposure <= 0.0)
        return std::nullopt;
    double difference = mean(with) - mean(alone);
    if (difference * std::abs(difference) <= kMinStandardErrors * kMinStandardErrors * (squaredError(with) + squaredError(alone)))
        return 0.0;
    double growth = std::expm1(difference) * with.weight / with.exposure;
    return growth >= (with.isBad ? kMinGrowthOfBadPair : kMinGrowth) ? growth : 0.0;
}

bool isBadPair(const LearnedPairs& pairs, const ImagePair& pair, TimePoint now)
{
    return estimateGrowth(pairs, pair, now).value_or(0.0) > 0.0;
}

bool isSettled(const PaceControl& control, TimePoint now) { return now >= control.changedAt + kSettleTime; }

/// The tails of a task with best-effort tasks of several images beside it can't be attributed, and are left out.
std::vector<ImagePair> learnPairs(LearnedPairs& pairs, const InterferenceReading& reading, TimePoint now)
{
    std::set<std::string> images;
    double exposure = 0.0;
    for (const PacedReading& it : reading.paced) {
        exposure += static_cast<double>(it.pace) / kFullPace;
        if (it.pace > 0)
            images.insert(it.image);
    }
    std::vector<ImagePair> learned;
    bool isAttributable = images.size() <= 1 && images.count("") == 0;
    for (const ServingReading& it : reading.serving) {
        if (!isAttributable || it.image.empty() || it.tail <= 0.0)
            continue;
        ImagePair pair { it.image, images.empty() ? "" : *images.begin() };
        addSample(pairs, pair, it.tail, exposure, now);
        if (pair.second.empty())
            continue;
        TailSamples& samples = pairs[pair];
        bool wasBad = samples.isBad;
        samples.isBad = isBadPair(pairs, pair, now);
        if (samples.isBad && !wasBad)
            learned.push_back(pair);
    }
    return learned;
}

static double worstTail(const InterferenceReading& reading)
{
    double worst = 0.0;
    for (const ServingReading& it : reading.serving)
        worst = std::max(worst, it.tail);
    return worst;
}

/// The tail with the best-effort runs at `pace`, relative to that at their present paces. Negative: not known.
static double predictTail(const LearnedPairs& pairs, const InterferenceReading& reading, const ServingReading& serving, int pace, TimePoint now)
{
    double before = 1.0;
    double after = 1.0;
    for (const PacedReading& it : reading.paced) {
        std::optional<double> growth = estimateGrowth(pairs, { serving.image, it.image }, now);
        if (!growth)
            return -1.0;
        before += *growth * it.pace / kFullPace;
        after += *growth * pace / kFullPace;
    }
    return serving.tail * after / before;
}

/// Worst of the predicted tails; negative: not known.
static double predictWorst(const LearnedPairs& pairs, const InterferenceReading& reading, int pace, TimePoint now)
{
    double worst = 0.0;
    for (const ServingReading& it : reading.serving) {
        double tail = predictTail(pairs, reading, it, pace, now);
        if (tail < 0.0)
            return -1.0;
        worst = std::max(worst, tail);
    }
    return worst;
}

/// The highest lower pace at which no tail should be over its target. A wrong prediction is followed by 0, since a third
/// decision would come too late.
static int lowerPace(const PaceControl& control, const LearnedPairs& pairs, const InterferenceReading& reading, TimePoint now)
{
    constexpr int kStep = 10;
    bool wasReleased = control.releasedUntil != TimePoint() && now < control.releasedUntil + kCeilingTime;
    bool wasLowered = control.pace < kFullPace && control.overSince;
    if (wasReleased || wasLowered)
        return 0;
    if (predictWorst(pairs, reading, 0, now) < 0.0)
        return control.pace > kFirstPace ? kFirstPace : 0;
    int pace = control.pace - kStep;
    while (pace > 0 && predictWorst(pairs, reading, pace, now) > kAimedTail)
        pace -= kStep;
    return std::max(pace, 0);
}

static int raisePace(const PaceControl& control, const LearnedPairs& pairs, const InterferenceReading& reading, TimePoint now)
{
    int pace = std::min(control.pace + kRaise, kFullPace);
    if (control.ceilingUntil > now)
        pace = std::min(pace, control.ceiling - kCeilingMargin);
    if (pace <= control.pace || predictWorst(pairs, reading, pace, now) > kAimedTail)
        return control.pace;
    return pace;
}

static void setPace(PaceControl& control, int pace, TimePoint now)
{
    if (pace == control.pace)
        return;
    control.pace = pace;
    control.changedAt = now;
    control.clearReadings = 0;
    control.uselessReadings = 0;
}

/// Paced runs that don't relieve a task lose work for nothing.
static void release(PaceControl& control, TimePoint now)
{
    control.releasedUntil = now + kReleaseTime;
    control.ceilingUntil = {};
    setPace(control, kFullPace, now);
}

PaceControl decidePace(PaceControl control, const LearnedPairs& pairs, const InterferenceReading& reading, TimePoint now)
{
    if (reading.serving.empty() || reading.paced.empty()) {
        PaceControl full;
        full.changedAt = control.pace == kFullPace ? control.changedAt : now;
        full.readAt = control.readAt;
        return full;
    }
    if (!isSettled(control, now) || now < control.releasedUntil)
        return control;
    double worst = worstTail(reading);
    if (worst <= 1.0) {
        control.uselessReadings = 0;
        control.overSince.reset();
        control.clearReadings = worst < kClearTail ? control.clearReadings + 1 : 0;
        if (control.pace < kFullPace && control.clearReadings >= kClearReadings)
            setPace(control, raisePace(control, pairs, reading, now), now);
        return control;
    }
    if (control.pace == 0) {
        if (++control.uselessReadings >= kUselessReadings)
            release(control, now);
        return control;
    }
    int pace = lowerPace(control, pairs, reading, now);
    control.overSince = control.overSince.value_or(now);
    control.ceiling = control.pace;
    control.ceilingUntil = now + kCeilingTime;
    setPace(control, pace, now);
    return control;
}

} // namespace crocuslever::cell
