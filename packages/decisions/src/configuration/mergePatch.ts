type JsonObject = Readonly<Record<string, unknown>>;

/** Keys that could pollute an object's prototype. */
const unsafeKeys = ['__proto__', 'constructor', 'prototype'];

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Applies a JSON merge patch (RFC 7396): null removes a key, objects merge, all else replaces. */
export function mergePatch(target: unknown, patch: unknown): unknown {
  if (!isObject(patch)) return patch;
  const merged: Record<string, unknown> = isObject(target) ? { ...target } : {};
  Object.entries(patch)
    .filter(([key]) => !unsafeKeys.includes(key))
    .forEach(([key, value]) => {
      if (value === null) delete merged[key];
      else merged[key] = mergePatch(merged[key], value);
    });
  return merged;
}
