/** Process infrastructure: settings, logging, metrics, HTTP servers, lifecycles and shutdown. */
export * from './charts.js';
export * from './connector.js';
export * from './digest.js';
export * from './histogramMetrics.js';
export * from './httpServer.js';
export * from './lifecycle.js';
export * from './logRateLimiter.js';
export * from './lossyLineStream.js';
export * from './logger.js';
export * from './metricFamily.js';
export * from './metricsServer.js';
export * from './notifier.js';
export * from './processAbort.js';
export * from './settings.js';
export * from './shutdown.js';
export * from './systemClock.js';
export * from './pauseGuard.js';
