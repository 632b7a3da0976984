// Package docs holds the pages of the project; its tests keep them in step with
// the code.
package docs
