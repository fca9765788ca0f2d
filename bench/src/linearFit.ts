/** A point of a series: size and measured value. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A line fitted by least squares. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** Fits a line to a series by least squares. */
export function fitLine(points: readonly Point[]): Line {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  return { slope, intercept: meanY - slope * meanX };
}
