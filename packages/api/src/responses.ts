/** HTTP responses to users that contain no job; statuses and bodies are defined by the protocol. */
import type { OutgoingResponse } from "@sorreltally/protocol"

/** 400: the request doesn't conform to the protocol. */
export const badRequest = (error: string): OutgoingResponse => ({ status: 400, body: { error } })
/** 404: the job or path doesn't exist. */
export const notFound = (error: string): OutgoingResponse => ({ status: 404, body: { error } })
/** 422: the job can never run in this deployment. */
export const unprocessable = (error: string): OutgoingResponse => ({ status: 422, body: { error } })
/** 429 or 503: the request can't be served now and may be retried after `retryAfterS` seconds. */
export const unavailable = (status: 429 | 503, error: string, retryAfterS: number): OutgoingResponse => ({
  status,
  body: { error },
  retryAfterS,
})

/** Parses a request's JSON; undefined, which no JSON text yields, if the text is not valid JSON. */
export const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
